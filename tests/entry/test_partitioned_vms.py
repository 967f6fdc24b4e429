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
from tests.support.platform.partitions import Partition

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet

ZONES = ("a", "a", "a", "b", "b")
PARTITIONS = {
    "one_vm": ("127.0.1.1",),
    "most_of_a_zone": ("127.0.1.1", "127.0.1.2"),
    "a_zone": ("127.0.1.1", "127.0.1.2", "127.0.1.3"),
    "of_two_zones": ("127.0.1.1", "127.0.1.2", "127.0.1.4"),
}
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
