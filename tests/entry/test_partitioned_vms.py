"""VMs that lose their paths to the replicas, while callers and other VMs reach them.

Each test is a cell of the table in ``docs/design/partitions.md``.
"""

from __future__ import annotations

import asyncio
from random import Random
from typing import TYPE_CHECKING

import pytest
from tests.soak.own.link import PathMode
from tests.support.platform.fleet import run_fleet
from tests.support.platform.partitions import STABLE_MS, Call, Partition
from tests.support.platform.site import DESK, ENGINES, PLAN_PATH

from quetzaldeck.decisions.paths import PathVerdict

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet

ZONES = ("a", "a", "a", "b", "b")
PARTITIONS = {
    "one_vm": ("127.0.1.1",),
    "most_of_a_zone": ("127.0.1.1", "127.0.1.2"),
    "a_zone": ("127.0.1.1", "127.0.1.2", "127.0.1.3"),
    "of_two_zones": ("127.0.1.1", "127.0.1.2", "127.0.1.4"),
}
MAX_REFUSAL_MS = 300.0
CUT_MODES = [mode for mode in PathMode if mode is not PathMode.OPEN]


@pytest.mark.parametrize("hosts", PARTITIONS.values(), ids=PARTITIONS)
@pytest.mark.parametrize("mode", CUT_MODES)
def test_callers_of_partitioned_vms_are_served_as_those_of_others(
    mode: PathMode, hosts: tuple[str, ...]
) -> None:
    """Callers of VMs that reach no replica are refused, or wait for their deadline."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        await partition.send_all(0.5)
        begun_ms = asyncio.get_running_loop().time() * 1_000
        partition.set_paths(hosts, mode)
        await partition.send_all(6.0)
        assert partition.describe_excess(hosts, begun_ms) == ""

    run_fleet(test, zones=ZONES)


@pytest.mark.parametrize("mode", CUT_MODES)
def test_partitioned_vms_conclude_no_crash_of_replicas(mode: PathMode) -> None:
    """All VMs suspect requests of crashing replicas that only some do not reach."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        await partition.send_all(0.5)
        hosts = PARTITIONS["of_two_zones"]
        partition.set_paths(hosts, mode)
        await partition.send_all(4.0)
        for host, vm in fleet.vms.items():
            state = vm.state
            crashes = state.dispatch.list_crash_state(99, random_state=Random(0))
            crashed = {sighting.upstream for sighting in crashes} - {""}
            assert (host, crashed) == (host, set())
            assert (host, state.dispatch.list_presumed()) == (host, [])

    run_fleet(test, zones=ZONES)


def count_verdicts(fleet: EntryFleet, verdict: PathVerdict) -> int:
    """:returns: how many VMs have a verdict on any service"""
    return sum(
        verdict in {vm.state.paths.monitor.find_verdict(s) for s in (ENGINES, DESK)}
        for vm in fleet.vms.values()
    )


@pytest.mark.parametrize("mode", [PathMode.SILENT, PathMode.RESET])
def test_no_vm_hands_over_while_no_vm_reaches_any_replica(mode: PathMode) -> None:
    """All replicas are gone, VMs flood each other, and callers wait for deadlines."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        await partition.send_all(0.5)
        partition.set_paths(fleet.vms, mode)
        traffic = asyncio.create_task(partition.send_all(5.0))
        for _ in range(45):
            await asyncio.sleep(0.1)
            assert count_verdicts(fleet, PathVerdict.PARTITIONED) == 0
        await traffic
        begun_ms = partition.calls[0].sent_ms
        late = [c for c in partition.calls if c.sent_ms > begun_ms + 4_500.0]
        assert {call.status for call in late} == {503}
        assert [c for c in late if c.elapsed_ms >= MAX_REFUSAL_MS] == []
        n_taken = sum(
            vm.state.metrics.requests.labels("handed_over")._value.get()
            for vm in fleet.vms.values()
        )
        # Each VM asks another one for at most one request in half a second, of each
        # of two services.
        assert n_taken <= 3 * len(fleet.vms) * 2 * 2 * 5.0
        partition.set_paths(fleet.vms, PathMode.OPEN)
        lost = set(PathVerdict) - {PathVerdict.REACHED}
        await fleet.wait(lambda: not any(count_verdicts(fleet, v) for v in lost))
        partition.calls.clear()
        await partition.send_all(1.0)
        assert {call.status for call in partition.calls} == {200}

    run_fleet(test, zones=ZONES)


@pytest.mark.parametrize("service", [ENGINES, DESK])
def test_service_that_is_gone_is_refused_at_once_and_the_other_served(
    service: str,
) -> None:
    """The replicas of one service are gone, and VMs take themselves for cut off."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        await partition.send_all(0.5)
        partition.set_paths(fleet.vms, PathMode.SILENT, service=service)
        begun_ms = asyncio.get_running_loop().time() * 1_000
        await partition.send_all(5.0)
        assert count_verdicts(fleet, PathVerdict.PARTITIONED) == 0
        late = [c for c in partition.calls if c.sent_ms > begun_ms + STABLE_MS]
        is_gone: dict[bool, list[Call]] = {True: [], False: []}
        for call in late:
            is_gone[(call.path == PLAN_PATH) is (service == ENGINES)].append(call)
        assert {call.status for call in is_gone[True]} == {503}
        assert [c for c in is_gone[True] if c.elapsed_ms >= MAX_REFUSAL_MS] == []
        assert {call.status for call in is_gone[False]} == {200}

    run_fleet(test, zones=ZONES)


@pytest.mark.parametrize("n_paused", [1, 4])
def test_replicas_that_are_silent_for_a_second_are_no_partition(n_paused: int) -> None:
    """Sound replicas fall silent for a second, and VMs refuse or hand over requests."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        await partition.send_all(0.5)
        traffic = asyncio.create_task(partition.send_all(3.0))
        await asyncio.sleep(0.5)
        engines = [r for r in partition.replicas if r.service == ENGINES]
        for replica in engines[:n_paused]:
            replica.server.is_silent_on_reports = True
            replica.is_paused = True
        for _ in range(10):
            await asyncio.sleep(0.1)
            assert count_verdicts(fleet, PathVerdict.PARTITIONED) == 0
            assert count_verdicts(fleet, PathVerdict.DOWN) == 0
        for replica in engines:
            replica.server.is_silent_on_reports = False
            replica.is_paused = False
        await traffic
        assert count_verdicts(fleet, PathVerdict.REACHED) == len(fleet.vms)
        statuses = {call.status for call in partition.calls}
        assert statuses == {200}

    run_fleet(test, zones=ZONES)


def test_vm_that_starts_behind_a_partition_serves_its_callers() -> None:
    """A VM that never reached a replica has no other way out."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        host = "127.0.1.1"
        await fleet.stop(host)
        partition.set_paths((host,), PathMode.SILENT)
        await fleet.start(host)
        await fleet.wait(lambda: fleet.vms[host].state.is_ready)
        begun_ms = asyncio.get_running_loop().time() * 1_000
        await partition.send_all(6.0)
        assert partition.describe_excess((host,), begun_ms) == ""

    run_fleet(test, zones=ZONES)


def test_path_that_comes_and_goes_each_second_serves_callers() -> None:
    """A flapping link fails requests in each second in which it is down."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        hosts = PARTITIONS["most_of_a_zone"]
        begun_ms = asyncio.get_running_loop().time() * 1_000
        traffic = asyncio.create_task(partition.send_all(8.0))
        for _ in range(4):
            partition.set_paths(hosts, PathMode.RESET)
            await asyncio.sleep(1.0)
            partition.set_paths(hosts, PathMode.OPEN)
            await asyncio.sleep(1.0)
        await traffic
        assert partition.describe_excess(hosts, begun_ms) == ""

    run_fleet(test, zones=ZONES)


@pytest.mark.parametrize("service", [ENGINES, DESK])
def test_vm_that_is_cut_off_from_one_service_serves_its_callers(service: str) -> None:
    """A VM that reaches some services takes its path for sound."""

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        hosts = PARTITIONS["a_zone"]
        await partition.send_all(0.5)
        begun_ms = asyncio.get_running_loop().time() * 1_000
        partition.set_paths(hosts, PathMode.SILENT, service=service)
        await partition.send_all(6.0)
        assert partition.describe_excess(hosts, begun_ms) == ""

    run_fleet(test, zones=ZONES)
