"""Membership, gossip and records in a small fleet in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from tests.support.fleet import Fleet, FleetSettings, wait_for
from tests.support.virtual_time import run_by_default

from quetzaldeck.directory import VmEntry, VmRole, VmState
from quetzaldeck.dissemination import RecordDraft
from quetzaldeck.membership import MemberState
from quetzaldeck.peers import PeerRefusal
from quetzaldeck.peers.hmac_channel import PEER_PATH
from quetzaldeck.peers.seal import SEAL_HEADER

if TYPE_CHECKING:
    from quetzaldeck.agent.session import AgentSession
    from quetzaldeck.membership import Member


def list_sessions(fleet: Fleet) -> list[AgentSession]:
    return [vm.agent.session for vm in fleet.vms.values()]


def all_see(fleet: Fleet, vm: str, state: MemberState) -> bool:
    members = [session.membership.find(vm) for session in list_sessions(fleet)]
    return all(member is not None and member.state is state for member in members)


async def run_member_changes() -> None:
    async with Fleet(FleetSettings(n_vms=4, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        await fleet.leave_vm("entry-1")
        await fleet.wait_until_members_agree()
        before = fleet.vms["entry-3"].agent.session.membership.find("entry-2")
        await fleet.stop_vm("entry-2")
        await wait_for(lambda: all_see(fleet, "entry-2", MemberState.DEAD))
        await fleet.start_vm("entry-2")
        await fleet.wait_until_members_agree()
        after = fleet.vms["entry-3"].agent.session.membership.find("entry-2")
        assert before is not None
        assert after is not None
        assert before.incarnation != after.incarnation


def test_all_vms_see_members_leave_die_and_return() -> None:
    run_by_default(run_member_changes())


def is_listed(member: Member | None) -> bool:
    return member is not None and member.is_listed


async def run_forgeries() -> None:
    async with Fleet(FleetSettings(n_vms=2, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        target = fleet.vms["entry-1"].agent
        membership = target.session.membership
        # The list is read at intervals; the next read may be the first to name a VM.
        await wait_for(lambda: is_listed(membership.find("entry-2")))
        before = membership.find("entry-2")
        url = target.address + PEER_PATH + "gossip"
        async with aiohttp.ClientSession() as client:
            for seal in ("", "[]", '["fleet","entry-2","x","entry-1","",1,"00"]'):
                headers = {SEAL_HEADER: seal}
                async with client.post(url, data=b"{}", headers=headers) as response:
                    assert response.status == 401
        metrics = target.session.channel.metrics
        assert metrics.n_refused(PeerRefusal.UNREADABLE) == 2
        assert metrics.n_refused(PeerRefusal.BAD_SIGNATURE) == 1
        after = membership.find("entry-2")
        assert before is not None
        assert after is not None
        assert before._replace(last_message_ms=None) == after._replace(
            last_message_ms=None
        )


def test_unauthenticated_messages_change_nothing() -> None:
    run_by_default(run_forgeries())


async def run_record() -> None:
    async with Fleet(FleetSettings(n_vms=4, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        first, *others = list_sessions(fleet)
        first.records.put(RecordDraft("crash", "f00d", value=2, ttl_ms=60_000))
        await wait_for(
            lambda: all(s.records.list_values("crash", int) == (2,) for s in others)
        )


def test_a_record_reaches_every_vm() -> None:
    run_by_default(run_record())


async def run_partition() -> None:
    async with Fleet(FleetSettings(n_vms=5, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        sides = ({"entry-1", "entry-2", "entry-3"}, {"entry-4", "entry-5"})
        fleet.partition.cut(*sides)
        for side in sides:
            for vm in side:
                await wait_for(lambda vm=vm, side=side: list_live(fleet, vm) == side)  # type: ignore[misc]
        for side, other in (sides, sides[::-1]):
            for vm in side:
                view = fleet.vms[vm].agent.session.view
                states = {m.state for m in view.members if m.vm in other}
                assert states == {MemberState.SUSPECTED}
        fleet.partition.heal()
        await fleet.wait_until_members_agree()


def list_live(fleet: Fleet, vm: str) -> set[str]:
    view = fleet.vms[vm].agent.session.view
    return {member.vm for member in view.list_live()}


def test_both_sides_of_a_partition_continue_and_rejoin() -> None:
    """The fleet is partitioned while the platform's list still shows all VMs.

    Each side must consider only its own VMs live without declaring the others dead,
    and after the partition both must rejoin without intervention.
    """
    run_by_default(run_partition())


async def run_restart() -> None:
    """Restart an agent repeatedly; peers have to learn its new epoch each time."""
    async with Fleet(FleetSettings(n_vms=2, n_engines=1)) as fleet:
        await fleet.wait_until_members_agree()
        for _ in range(3):
            await fleet.stop_vm("entry-1")
            await fleet.start_vm("entry-1")
            await fleet.wait_until_members_agree()


def test_peers_regain_contact_after_each_restart() -> None:
    run_by_default(run_restart())


async def run_leaving_upstream() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=2)) as fleet:
        await fleet.wait_until_members_agree()
        first, *others = list_sessions(fleet)
        entry = VmEntry("engine-2", VmRole.UPSTREAM, state=VmState.LEAVING)
        first.apply_list((entry,))
        await wait_for(lambda: all("engine-2" in s.leaving_upstreams for s in others))


def test_the_first_reader_announces_a_leaving_upstream() -> None:
    """One agent reads the list many seconds before the others.

    Without the announcement, the others would send new work to the leaving upstream
    until their own next read.
    """
    run_by_default(run_leaving_upstream())


async def run_shared_loads() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=4)) as fleet:
        await fleet.wait_until_members_agree()
        engines = set(fleet.engines)
        await wait_for(
            lambda: all(
                {report.upstream for report in s.list_loads()} == engines
                for s in list_sessions(fleet)
            )
        )
        assert all(
            report.age_ms >= 0
            for s in list_sessions(fleet)
            for report in s.list_loads()
        )


def test_every_vm_knows_the_load_of_every_engine() -> None:
    run_by_default(run_shared_loads())
