"""Crowds of clients that keep no limit, at each address of the real programs.

What is checked does not depend on the speed of the machine: that the process lives, its
memory and descriptors, and that one ordinary request is answered. Each runs alone, see
``make test``.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pytest
import uvloop
from tests.support.crowd import Crowd, Habit, build_habits
from tests.support.platform.site import KEY
from tests.support.platform.vm_process import Gauge, VmProcess
from tests.system.processes import ProcessFleet, ProcessFleetSettings, wait_ready

if TYPE_CHECKING:
    from pathlib import Path

    from tests.support.platform.replica import Arrival, Connection

pytestmark = pytest.mark.crowd

CROWD_S = 4.0
MEMORY_MB = 100.0
"""Memory of the VM; it takes half of it in calm."""

ANSWER_BYTES = 900_000

HABITS = build_habits(KEY)


class Case(NamedTuple):
    """A crowd, and the address of the VM that it goes to."""

    n_clients: int
    habit: Habit
    address: str = "callers"


N_CLIENTS = {
    "held_heads": 200,
    "fields_without_end": 200,
    "request_line_without_end": 200,
    "one_field_without_end": 200,
    "trailers_without_end": 200,
    "noise": 200,
    "empty_lines_between_requests": 100,
    "requests_without_end": 200,
    "held_bodies": 1_000,
    "many_small_fields": 200,
    "unread_answers": 30,
}
ADDRESSES = ("readiness", "metrics", "peers", "handover")
MEMORY = {
    **{name: Case(n_clients, HABITS[name]) for name, n_clients in N_CLIENTS.items()},
    **{
        f"held_heads_at_{address}": Case(200, HABITS["held_heads"], address)
        for address in ADDRESSES
    },
}


async def answer_at_length(arrival: Arrival, connection: Connection) -> None:
    """Answer with a long body."""
    await connection.answer(arrival, body=b"a" * ANSWER_BYTES)


@pytest.mark.parametrize("name", MEMORY)
def test_crowd_takes_no_more_than_the_memory_of_a_vm(tmp_path: Path, name: str) -> None:
    """Guards against clients that are bounded one by one, but not all together."""
    case = MEMORY[name]
    desk = answer_at_length if name == "unread_answers" else None

    async def test() -> None:
        async with VmProcess(tmp_path, memory_mb=MEMORY_MB, desk=desk) as vm:
            async with Crowd(vm.addresses[case.address], case.n_clients, case.habit):
                await vm.gauge.watch(CROWD_S)
            assert vm.process.is_running
            assert vm.gauge.peak.memory_mb <= MEMORY_MB
            assert await look_up_again(vm) == 200

    uvloop.run(test())


MAX_DESCRIPTORS = 400
N_KEPT = 100
"""Descriptors that are left for upstreams, the store and ordinary callers."""

DESCRIPTORS = {
    **{
        name: Case(500, HABITS[name])
        for name in ("connections", "empty_lines", "slow_bodies")
    },
    **{
        f"connections_at_{address}": Case(500, HABITS["connections"], address)
        for address in ADDRESSES
    },
}


@pytest.mark.parametrize("name", DESCRIPTORS)
def test_crowd_takes_not_all_descriptors(tmp_path: Path, name: str) -> None:
    """Guards against connections that take all descriptors while they stay."""
    case = DESCRIPTORS[name]

    async def test() -> None:
        async with VmProcess(tmp_path, max_descriptors=MAX_DESCRIPTORS) as vm:
            async with Crowd(vm.addresses[case.address], case.n_clients, case.habit):
                await vm.gauge.watch(CROWD_S)
                assert await look_up_again(vm) == 200
            assert vm.process.is_running
            assert vm.gauge.peak.n_descriptors <= MAX_DESCRIPTORS - N_KEPT
            assert await look_up_again(vm) == 200

    uvloop.run(test())


PROGRAM_MEMORY_MB = 300.0
"""Memory of a program of the own interface, which no setting of it lowers yet."""

N_HELD_HEADS = 600
N_PROGRAM_CONNECTIONS = 500


@pytest.mark.parametrize("program", ["gateway", "agent"])
def test_crowd_takes_no_more_than_the_memory_of_a_program(
    tmp_path: Path, program: str
) -> None:
    """Guards against heads that end a program of the own interface all together."""

    async def test() -> None:
        settings = ProcessFleetSettings(n_vms=1)
        async with ProcessFleet(tmp_path, settings) as fleet:
            process = getattr(fleet.vms["entry-1"], program)
            address = process.address.removeprefix("http://")
            gauge = Gauge(process, (int(address.rpartition(":")[2]),))
            async with Crowd(address, N_HELD_HEADS, HABITS["held_heads"]):
                await gauge.watch(CROWD_S)
            assert process.is_running
            assert gauge.peak.memory_mb <= PROGRAM_MEMORY_MB
            await wait_ready(process.address)

    uvloop.run(test())


@pytest.mark.parametrize("program", ["gateway", "agent"])
def test_crowd_takes_not_all_descriptors_of_a_program(
    tmp_path: Path, program: str
) -> None:
    """Guards against connections that keep the programs of a VM from one another."""

    async def test() -> None:
        settings = ProcessFleetSettings(n_vms=1, max_descriptors=MAX_DESCRIPTORS)
        async with ProcessFleet(tmp_path, settings) as fleet:
            process = getattr(fleet.vms["entry-1"], program)
            address = process.address.removeprefix("http://")
            gauge = Gauge(process, (int(address.rpartition(":")[2]),))
            async with Crowd(address, N_PROGRAM_CONNECTIONS, HABITS["connections"]):
                await gauge.watch(CROWD_S)
                await wait_ready(process.address)
            assert process.is_running
            assert gauge.peak.n_descriptors <= MAX_DESCRIPTORS - N_KEPT

    uvloop.run(test())


N_LOOK_UPS = 5
"""Attempts of an ordinary caller, each on a connection of its own."""


async def look_up_again(vm: VmProcess) -> int:
    """:returns: the status of an ordinary request, which may be repeated"""
    status = 0
    for _ in range(N_LOOK_UPS):
        status = await vm.look_up()
        if status == 200:
            break
        await asyncio.sleep(0.5)
    return status
