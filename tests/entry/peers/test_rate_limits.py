"""VMs tell each other of rate limits and ask each other for permits."""

from __future__ import annotations

import asyncio
import socket
import time
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from tests.support.platform.fleet import run_fleet

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions.cold_replicas import EffectiveLimit
from quetzaldeck.decisions.rate_limits import Permit, RateLimitStatement
from quetzaldeck.entry.peers.messages import (
    LimitUpdate,
    LoadUpdate,
    PermitRequest,
    VmUpdate,
    build_permit_answer,
    read_limit_update,
)
from quetzaldeck.entry.peers.permit_client import ANSWER_TIMEOUT_MS, PermitClient
from quetzaldeck.entry.peers.update_store import UpdateQueue, UpdateStore, split_updates
from quetzaldeck.telemetry import GatewayMetrics
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet, EntryVm

STATEMENT = RateLimitStatement("e0", "", 2.0, 0.0)
LIMIT = EffectiveLimit("e0", 2.0, STATEMENT)


def name_limit(vm: EntryVm, rate: float | None) -> None:
    """Let a VM get an answer that names a limit."""
    limits = vm.state.rate_limits
    statement = STATEMENT._replace(
        requests_per_s=rate, heard_ms=vm.state.clock.uptime_ms()
    )
    limits.note_peer(statement, peer="test")


def knows(vm: EntryVm, rate: float | None) -> bool:
    statement = vm.state.rate_limits.find("e0")
    return (None if statement is None else statement.requests_per_s) == rate


def test_greetings_make_up_for_a_lost_announcement() -> None:
    """A datagram is lost, or a VM starts after a limit was announced."""

    async def test(fleet: EntryFleet) -> None:
        first, *others = fleet.vms.values()
        name_limit(first, 2.0)
        await fleet.wait(lambda: all(knows(vm, 2.0) for vm in others))
        late = await fleet.start("127.0.1.9")
        await fleet.wait(lambda: knows(late, 2.0))
        name_limit(others[0], None)
        await fleet.wait(lambda: all(knows(vm, None) for vm in fleet.vms.values()))

    run_fleet(test)


def test_deputy_issues_permits_while_the_issuer_is_gone() -> None:
    """The VM that issues the permits of an upstream is killed."""

    async def test(fleet: EntryFleet) -> None:
        for vm in fleet.vms.values():
            name_limit(vm, 50.0)
        await asyncio.sleep(3.5)
        issuer = find_issuer(fleet)
        await fleet.stop(issuer)
        vm = next(iter(fleet.vms.values()))
        for _ in range(20):
            with suppress(UpstreamError):
                await vm.state.permits.acquire("e0", 0.0)
            await asyncio.sleep(0.05)
        counters = (
            vm.state.metrics.upstreams.permits_issued.labels("e0")
            for vm in fleet.vms.values()
        )
        assert sum(counter._value.get() for counter in counters) >= 10

    run_fleet(test, n_vms=4)


def find_issuer(fleet: EntryFleet) -> str:
    """:returns: the VM that issues the permits of ``e0``"""
    for host, vm in fleet.vms.items():
        peers = tuple(other for other in fleet.vms if other != host)
        return vm.state.permits._issuer.rank("e0", peers)[0]
    raise AssertionError


def test_vm_that_does_not_answer_is_not_asked_again_for_a_while() -> None:
    """Each request to a limited upstream waited for the answer of a dead VM."""

    async def test() -> None:
        clock = ManualClock(1_000.0)
        client = PermitClient(clock, GatewayMetrics().upstreams)
        asked: list[str] = []
        client.connect(lambda vm, _: asked.append(vm))
        assert await client.ask("10.0.0.1", LIMIT, 0.0) is None
        assert await client.ask("10.0.0.1", LIMIT, 0.0) is None
        assert asked == ["10.0.0.1"]
        clock.advance(2_000.0)
        assert await client.ask("10.0.0.1", LIMIT, 0.0) is None
        assert asked == ["10.0.0.1"] * 2

    uvloop.run(test())


def test_answer_that_arrived_during_a_stall_is_taken() -> None:
    """Guards against a VM that takes its own lateness for silence of another."""

    async def test() -> None:
        client = PermitClient(ManualClock(1_000.0), GatewayMetrics().upstreams)
        permit = Permit(is_granted=True, wait_ms=3.0)
        requests: list[PermitRequest] = []
        client.connect(lambda _, request: requests.append(request))
        own, other = socket.socketpair()
        with own, other:
            asking = asyncio.create_task(client.ask("10.0.0.1", LIMIT, 0.0))
            await asyncio.sleep(0)
            loop = asyncio.get_running_loop()

            def receive() -> None:
                loop.remove_reader(own)
                client.note_answer(build_permit_answer(requests[0].number, permit))

            loop.add_reader(own, receive)
            other.send(b"answer")
            time.sleep(1.2 * ANSWER_TIMEOUT_MS / 1_000)  # noqa: ASYNC251 - a stall
            assert await asking == permit

    uvloop.run(test())


def test_answer_is_matched_to_its_request_and_a_late_one_is_unused() -> None:
    async def test() -> None:
        client = PermitClient(ManualClock(1_000.0), GatewayMetrics().upstreams)
        requests: list[PermitRequest] = []
        client.connect(lambda _, request: requests.append(request))
        asking = [
            asyncio.create_task(client.ask("10.0.0.1", LIMIT, 0.0)) for _ in range(2)
        ]
        await asyncio.sleep(0)
        for request, wait_ms in zip(reversed(requests), (7.0, 3.0), strict=True):
            permit = Permit(is_granted=True, wait_ms=wait_ms)
            client.note_answer(build_permit_answer(request.number, permit))
        assert await asyncio.gather(*asking) == [(True, 3.0), (True, 7.0)]
        late = asyncio.create_task(client.ask("10.0.0.1", LIMIT, 0.0))
        await asyncio.sleep(ANSWER_TIMEOUT_MS / 1_000 + 0.1)
        client.note_answer(build_permit_answer(requests[-1].number, None))
        assert await late is None

    uvloop.run(test())


def test_permit_is_not_used_by_a_vm_that_was_suspended_meanwhile() -> None:
    """A VM that wakes up late sends at the turns of others."""

    async def test(fleet: EntryFleet) -> None:
        vm = next(iter(fleet.vms.values()))
        name_limit(vm, 2.0)
        permits = vm.state.permits

        async def obtain(*_: object) -> Permit:
            now_ms = vm.state.clock.uptime_ms()
            vm.state.clock.uptime_ms = lambda: now_ms + 5_000.0  # type: ignore[method-assign]
            return Permit(is_granted=True, wait_ms=0.0)

        permits._obtain = obtain  # type: ignore[method-assign, assignment]
        with pytest.raises(UpstreamError):
            await permits.acquire("e0", 0.0)

    run_fleet(test, n_vms=2)


def test_update_from_the_future_does_not_block_later_ones() -> None:
    """A peer with a broken clock must not decide on a limit for long."""
    update = LimitUpdate("e0", "", 2.0, -1e9)
    assert read_limit_update(update, 5_000.0).heard_ms <= 5_000.0


@given(st.integers(0, 30), st.integers(0, 30), st.integers(1, 20))
def test_limits_are_forwarded_once_and_whole(
    n_limits: int, n_loads: int, n_entries: int
) -> None:
    """A relay splits the updates of other VMs into datagrams."""
    limits = tuple(LimitUpdate(f"e{n}", "", 1.0, 0.0) for n in range(n_limits))
    loads = tuple(LoadUpdate(f"e{n}", 1, 0, 0) for n in range(n_loads))
    update = VmUpdate("vm", 1, loads, limits=limits)
    store, queue = UpdateStore(), UpdateQueue()
    queue.add(store.merge(update, 0.0))
    parts = [piece for part in split_updates(queue.take(), n_entries) for piece in part]
    sent = [limit for part in parts for limit in part.limits]
    assert sorted(sent, key=str) == sorted(limits, key=str)
    assert not store.merge(update, 0.0).says_anything
