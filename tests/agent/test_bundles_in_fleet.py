"""Bundles reach every VM and are never replaced by older ones."""

from __future__ import annotations

import asyncio

from tests.support.fleet import FAST_MEMBERSHIP, Fleet, FleetSettings, wait_for
from tests.support.virtual_time import run_by_default

from quetzaldeck.bundle import ModelSpec
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle

SMALL = FleetSettings(n_vms=3, n_engines=1)


def list_versions(fleet: Fleet) -> set[int]:
    return {vm.agent.session.store.version for vm in fleet.vms.values()}


def count_refused(fleet: Fleet, vm: str, why: str) -> float:
    registry = fleet.vms[vm].agent.session.metrics.registry
    name = "quetzaldeck_agent_bundles_refused_total"
    return registry.get_sample_value(name, {"why": why}) or 0.0


def count_errors(fleet: Fleet) -> float:
    registry = fleet.vms["entry-1"].agent.session.metrics.registry
    name = "quetzaldeck_agent_platform_errors_total"
    return registry.get_sample_value(name, {"what": "bundle"}) or 0.0


async def roll_out(fleet: Fleet, version: int) -> None:
    await fleet.publish(fleet.build_bundle(version))
    await wait_for(lambda: list_versions(fleet) == {version})


async def record_versions(fleet: Fleet, vm: str, *, until: int) -> list[int]:
    """:returns: the versions that the VM's gateway had in force, in order"""
    state = fleet.vms[vm].gateway.session.state
    seen: list[int] = []
    while not seen or seen[-1] != until:
        if not seen or state.bundle_version != seen[-1]:
            seen.append(state.bundle_version)
        await asyncio.sleep(0.005)
    return seen


async def run_stale_service() -> None:
    async with Fleet(SMALL) as fleet:
        await roll_out(fleet, 5)
        await fleet.wait_until_members_agree()
        await fleet.publish(fleet.build_bundle(4))
        await fleet.start_vm("entry-9")
        async with asyncio.timeout(20):
            seen = await record_versions(fleet, "entry-9", until=5)
        assert seen == [0, 5]
        assert list_versions(fleet) == {5}
        assert count_refused(fleet, "entry-1", "older") >= 1


def test_a_new_vm_takes_the_fleets_bundle_over_a_stale_one() -> None:
    """The configuration service serves version 4 again after 5 was rolled out.

    A VM that is replaced at that moment reads 4. If it put 4 in force, callers would
    get the old models from one VM in seven until the service recovers.
    """
    run_by_default(run_stale_service())


async def run_replacement() -> None:
    async with Fleet(SMALL) as fleet:
        await roll_out(fleet, 2)
        await fleet.wait_until_members_agree()
        fleet.configuration.is_down = True
        for index in (1, 2, 3):
            await fleet.start_vm(f"entry-{index + 10}")
            new_session = fleet.vms[f"entry-{index + 10}"].agent.session
            await wait_for(lambda new_session=new_session: new_session.is_ready)  # type: ignore[misc]
            await fleet.leave_vm(f"entry-{index}")
        assert list_versions(fleet) == {2}
        assert set(fleet.vms) == {"entry-11", "entry-12", "entry-13"}


def test_the_bundle_survives_the_replacement_of_all_vms() -> None:
    """All VMs are replaced one by one while the configuration service is down.

    Nothing is stored on disk: the bundle survives only if each new VM gets it from a
    peer before the last VM that has read it is gone.
    """
    run_by_default(run_replacement())


async def run_conflict() -> None:
    async with Fleet(SMALL) as fleet:
        await roll_out(fleet, 2)
        first = fleet.build_bundle(2)
        second = first._replace(models=(*first.models, ModelSpec("other", "1")))
        await fleet.publish(second)
        await wait_for(lambda: count_refused(fleet, "entry-1", "conflict") >= 1)
        bundles = [vm.agent.session.store.bundle for vm in fleet.vms.values()]
        assert bundles == [first] * 3
        await roll_out(fleet, 3)


def test_a_second_bundle_of_the_same_version_is_refused_and_reported() -> None:
    run_by_default(run_conflict())


async def run_retired_key() -> None:
    new_private, new_public = generate_key()
    async with Fleet(SMALL) as fleet:
        await roll_out(fleet, 2)
        await fleet.wait_until_members_agree()
        settings = fleet.build_agent_settings("entry-9")
        agent = fleet.build_agent(settings._replace(bundle_keys={"new": new_public}))
        await agent.start()
        metrics = agent.session.metrics.registry
        name = "quetzaldeck_agent_bundles_refused_total"
        labels = {"why": "bad_signature"}
        await wait_for(lambda: (metrics.get_sample_value(name, labels) or 0) >= 1)
        assert agent.session.store.bundle is None
        assert not agent.session.is_ready
        bundle = fleet.build_bundle(3)
        envelope = sign_bundle(bundle, "new", new_private)
        await fleet.configuration.publish(encode_envelope(envelope))
        await wait_for(lambda: agent.session.store.version == 3)
        await wait_for(lambda: agent.session.is_ready)
        assert list_versions(fleet) == {2}
        agent.leaves_on_stop = False
        await agent.stop()


def test_a_bundle_of_a_retired_key_is_refused() -> None:
    """A new VM's settings no longer trust the key that signed the fleet's bundle.

    The VM accepts the bundle neither from the service nor from peers, and is not
    ready until a bundle signed with a trusted key is published. VMs that do not trust
    the new key keep their bundle.
    """
    run_by_default(run_retired_key())


async def run_hanging_watch() -> None:
    settings = SMALL._replace(n_vms=1, watch_timeout_ms=300)
    async with Fleet(settings) as fleet:
        await wait_for(lambda: fleet.configuration.n_calls >= 2)
        fleet.configuration.silence_watches()
        await roll_out(fleet, 2)


def test_a_watch_without_an_answer_times_out() -> None:
    """The network drops the connection of an open watch without closing it.

    Without a timeout of its own the agent would wait for ever and miss every later
    bundle.
    """
    run_by_default(run_hanging_watch())


async def run_restored_service() -> None:
    async with Fleet(SMALL._replace(n_vms=1)) as fleet:
        for version in (2, 3, 4):
            await roll_out(fleet, version)
        fleet.configuration.is_down = True
        fleet.configuration.restore(fleet.sign(fleet.build_bundle(2)))

        fleet.configuration.break_connections()
        await wait_for(lambda: count_errors(fleet) >= 1)
        fleet.configuration.is_down = False
        await wait_for(lambda: count_refused(fleet, "entry-1", "older") >= 1)
        await roll_out(fleet, 5)


def test_a_service_restored_to_lower_revisions_is_read_again() -> None:
    """The configuration service is restored from a backup, with lower revisions.

    A watch for revisions above the last one seen would not return until as many
    bundles were published as the backup had lost.
    """
    run_by_default(run_restored_service())


async def run_few_watchers() -> None:
    # A late probe answer on a busy machine must not make another VM a watcher.
    membership = FAST_MEMBERSHIP._replace(probe_timeout_ms=10_000)
    settings = SMALL._replace(n_vms=5, max_watchers=1, membership=membership)
    async with Fleet(settings) as fleet:
        await fleet.wait_until_members_agree()
        await roll_out(fleet, 2)
        await wait_for(lambda: fleet.configuration.n_waiting == 1)
        n_calls = fleet.configuration.n_calls
        await roll_out(fleet, 3)
        assert fleet.configuration.n_calls - n_calls <= 3


def test_few_vms_watch_and_the_others_get_bundles_from_peers() -> None:
    """If each of 410 VMs held a watch open, the calls would grow with the fleet."""
    run_by_default(run_few_watchers())


async def run_isolated_vm() -> None:
    settings = SMALL._replace(join_timeout_ms=600)
    async with Fleet(settings) as fleet:
        await fleet.wait_until_members_agree()
        fleet.partition.cut({"entry-9"}, set(fleet.vms))
        await fleet.start_vm("entry-9")
        new_session = fleet.vms["entry-9"].agent.session
        await wait_for(lambda: new_session.store.version == 1)
        assert not new_session.is_ready
        await wait_for(lambda: new_session.is_ready)


def test_a_new_vm_without_peers_serves_after_the_join_timeout() -> None:
    """A VM starts during a partition and no peer answers it.

    It cannot know whether its bundle is the newest, but waiting for ever would turn a
    partition into an outage. It waits for ``join_timeout_ms`` and then serves.
    """
    run_by_default(run_isolated_vm())
