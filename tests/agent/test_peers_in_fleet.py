"""Agents of a small fleet in one process."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import uvloop
from tests.support.fleet import Fleet, FleetSettings, wait_for

from quetzaldeck.directory import VmEntry, VmRole, VmState
from quetzaldeck.dissemination import RecordDraft
from quetzaldeck.membership import MemberState
from quetzaldeck.peers import PeerRefusal
from quetzaldeck.peers.hmac_channel import PEER_PATH
from quetzaldeck.peers.seal import SEAL_HEADER

if TYPE_CHECKING:
    from quetzaldeck.agent.session import AgentSession


def sessions_of(fleet: Fleet) -> list[AgentSession]:
    return [vm.agent.session for vm in fleet.vms.values()]


def all_believe(fleet: Fleet, vm: str, state: MemberState) -> bool:
    members = [session.membership.find(vm) for session in sessions_of(fleet)]
    return all(member is not None and member.state is state for member in members)


async def run_member_changes() -> None:
    async with Fleet(FleetSettings(n_vms=4, n_engines=1)) as fleet:
        await fleet.meet()
        await fleet.leave_vm("entry-1")
        await fleet.meet()
        before = fleet.vms["entry-3"].agent.session.membership.find("entry-2")
        await fleet.stop_vm("entry-2")
        await wait_for(lambda: all_believe(fleet, "entry-2", MemberState.DEAD))
        await fleet.start_vm("entry-2")
        await fleet.meet()
        after = fleet.vms["entry-3"].agent.session.membership.find("entry-2")
        assert before is not None
        assert after is not None
        assert before.incarnation != after.incarnation


def test_leaving_dying_and_coming_back_are_seen_by_all() -> None:
    uvloop.run(run_member_changes())


async def run_forgeries() -> None:
    async with Fleet(FleetSettings(n_vms=2, n_engines=1)) as fleet:
        await fleet.meet()
        target = fleet.vms["entry-1"].agent
        before = target.session.membership.find("entry-2")
        url = target.address + PEER_PATH + "gossip"
        async with aiohttp.ClientSession() as client:
            for seal in ("", "[]", '["fleet","entry-2","x","entry-1","",1,"00"]'):
                headers = {SEAL_HEADER: seal}
                async with client.post(url, data=b"{}", headers=headers) as response:
                    assert response.status == 401
        metrics = target.session.channel.metrics
        assert metrics.n_refused(PeerRefusal.UNREADABLE) == 2
        assert metrics.n_refused(PeerRefusal.BAD_SIGNATURE) == 1
        after = target.session.membership.find("entry-2")
        assert before is not None
        assert after is not None
        assert before._replace(last_message_ms=None) == after._replace(
            last_message_ms=None
        )


def test_unauthenticated_messages_change_nothing() -> None:
    uvloop.run(run_forgeries())


async def run_record() -> None:
    async with Fleet(FleetSettings(n_vms=4, n_engines=1)) as fleet:
        await fleet.meet()
        first, *others = sessions_of(fleet)
        first.records.put(RecordDraft("crash", "f00d", value=2, ttl_ms=60_000))
        await wait_for(
            lambda: all(s.records.list_values("crash", int) == (2,) for s in others)
        )


def test_a_record_reaches_every_vm() -> None:
    uvloop.run(run_record())


async def run_partition() -> None:
    async with Fleet(FleetSettings(n_vms=5, n_engines=1)) as fleet:
        await fleet.meet()
        sides = ({"entry-1", "entry-2", "entry-3"}, {"entry-4", "entry-5"})
        fleet.partition.cut(*sides)
        for side in sides:
            for vm in side:
                await wait_for(lambda vm=vm, side=side: live(fleet, vm) == side)  # type: ignore[misc]
        for side, other in (sides, sides[::-1]):
            for vm in side:
                view = fleet.vms[vm].agent.session.view
                states = {m.state for m in view.members if m.vm in other}
                assert states == {MemberState.SUSPECTED}
        fleet.partition.heal()
        await fleet.meet()


def live(fleet: Fleet, vm: str) -> set[str]:
    view = fleet.vms[vm].agent.session.view
    return {member.vm for member in view.list_live()}


def test_both_sides_of_a_partition_go_on_and_meet_again() -> None:
    """The fleet is cut in two while the list goes on naming all.

    Each side counts only itself as live, neither declares the other dead, and
    once the cut is gone they find each other again without anyone's help.
    """
    uvloop.run(run_partition())


async def run_restart() -> None:
    """A restarted agent refuses nothing authentic: it tells peers its epoch."""
    async with Fleet(FleetSettings(n_vms=2, n_engines=1)) as fleet:
        await fleet.meet()
        for _ in range(3):
            await fleet.stop_vm("entry-1")
            await fleet.start_vm("entry-1")
            await fleet.meet()


def test_peers_meet_again_after_each_restart() -> None:
    uvloop.run(run_restart())


async def run_leaving_upstream() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=2)) as fleet:
        await fleet.meet()
        first, *others = sessions_of(fleet)
        entry = VmEntry("engine-2", VmRole.UPSTREAM, state=VmState.LEAVING)
        first.apply_list((entry,))
        await wait_for(lambda: all("engine-2" in s.leaving_upstreams for s in others))


def test_a_leaving_upstream_is_told_by_the_first_reader() -> None:
    """One agent's copy of the list is ahead of the others' by many seconds.

    Until each has read the change for itself it would send the upstream new work.
    """
    uvloop.run(run_leaving_upstream())


async def run_shared_loads() -> None:
    async with Fleet(FleetSettings(n_vms=3, n_engines=4)) as fleet:
        await fleet.meet()
        engines = set(fleet.engines)
        await wait_for(
            lambda: all(
                {report.upstream for report in s.list_loads()} == engines
                for s in sessions_of(fleet)
            )
        )
        assert all(
            report.age_ms >= 0 for s in sessions_of(fleet) for report in s.list_loads()
        )


def test_every_vm_knows_the_load_of_every_engine() -> None:
    uvloop.run(run_shared_loads())
