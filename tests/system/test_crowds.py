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
from tests.support.crowd import Crowd, Habit
from tests.support.platform.site import HOST, KEY, LOOK_PATH
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

START = f"POST {LOOK_PATH} HTTP/1.1\r\nHost: {HOST}\r\n".encode()
KEYED = (
    START
    + (
        f"Quetzaldeck-Attempt-Id: a\r\nQuetzaldeck-Deadline-Ms: 5000\r\n"
        f"Quetzaldeck-Key: {KEY}\r\n"
    ).encode()
)
WHOLE = KEYED + b"Content-Length: 0\r\n\r\n"
CHUNKED = KEYED + b"Transfer-Encoding: chunked\r\n\r\n"
FIELD = b"X-Field: " + b"a" * 16_000 + b"\r\n"
HELD_HEAD = Habit(START + FIELD * 15)


class Case(NamedTuple):
    """A crowd, and the address of the VM that it goes to."""

    n_clients: int
    habit: Habit
    address: str = "callers"


MEMORY = {
    "held_heads": Case(200, HELD_HEAD),
    "held_heads_at_readiness": Case(200, HELD_HEAD, "readiness"),
    "held_heads_at_metrics": Case(200, HELD_HEAD, "metrics"),
    "held_heads_at_peers": Case(200, HELD_HEAD, "peers"),
    "held_heads_at_handover": Case(200, HELD_HEAD, "handover"),
    "fields_without_end": Case(200, Habit(START, b"X-Field: a\r\n")),
    "request_line_without_end": Case(200, Habit(b"GET /", b"a")),
    "one_field_without_end": Case(200, Habit(START + b"X-Field: ", b"a")),
    "trailers_without_end": Case(
        200, Habit(CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-Field: a\r\n")
    ),
    "noise": Case(200, Habit(b"", bytes(range(128, 256)))),
    "empty_lines_between_requests": Case(100, Habit(b"", WHOLE + b"\r\n" * 100_000)),
    "requests_without_end": Case(200, Habit(b"", WHOLE, reads=False)),
    "held_bodies": Case(
        1_000, Habit(KEYED + b"Content-Length: 100000\r\n\r\n" + b"a" * 99_999)
    ),
    "many_small_fields": Case(
        200, Habit(START + b"a:\r\n" * 3_500 + b"Content-Length: 0\r\n\r\n")
    ),
    "unread_answers": Case(30, Habit(WHOLE * 20, reads=False)),
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
    "connections": Case(500, Habit()),
    "connections_at_readiness": Case(500, Habit(), "readiness"),
    "connections_at_metrics": Case(500, Habit(), "metrics"),
    "connections_at_peers": Case(500, Habit(), "peers"),
    "connections_at_handover": Case(500, Habit(), "handover"),
    "empty_lines": Case(500, Habit(b"", b"\r\n", unit_s=0.05)),
    "slow_bodies": Case(
        500, Habit(KEYED + b"Content-Length: 1000\r\n\r\n", b"a", unit_s=0.5)
    ),
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
            async with Crowd(address, N_HELD_HEADS, HELD_HEAD):
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
            async with Crowd(address, N_PROGRAM_CONNECTIONS, Habit()):
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
