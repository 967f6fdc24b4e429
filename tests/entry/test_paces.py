"""Engines are polled for their pace; all VMs avoid the slow ones."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.fleet import run_fleet
from tests.support.platform.replica import StandInReplica, event
from tests.support.platform.site import ENGINES, PLAN_PATH, build_entry, run_site

from quetzaldeck.entry.pace_task import POLL_INTERVAL_MS

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet, EntryVm
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

    from quetzaldeck.entry.state import EntryState

N_CALLS = 12


async def stream(arrival: Arrival, connection: Connection) -> None:
    """Stream one event."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await connection.end_stream()


def find_slow(state: EntryState) -> set[str]:
    """:returns: engines that a VM considers slow"""
    upstreams = state.dispatch._scheduler.upstreams
    return set(upstreams.find_slow(state.clock.now_ms()))


def test_slow_engine_gets_no_request_while_others_are_available() -> None:
    """One engine of three works at a fifth of its speed, then at full speed again."""

    async def test(site: Site) -> None:
        slow = site.engines[1]
        slow.pace = 5.0
        state = site.entry.session.state
        await site.wait(lambda: find_slow(state) == {"e1"})
        for _ in range(N_CALLS):
            answer = await site.call(PLAN_PATH)
            assert answer.status == 200
        assert not slow.calls
        slow.pace = 1.0
        await site.wait(lambda: not find_slow(state))

    run_site(test, engines=(stream,) * 3)


@pytest.mark.parametrize(
    "report",
    [
        b"",
        b"[]",
        b'{"pace": "fast"}',
        b"{}",
        b"\xff",
        b'{"x": ' + b"[" * 30_000,
        b'{"pace": 5.0, "x": "' + b"x" * 70_000 + b'"}',
    ],
    ids=["empty", "list", "word", "nothing", "no text", "deep", "long"],
)
def test_report_without_a_valid_pace_is_ignored(report: bytes) -> None:
    async def test(site: Site) -> None:
        site.engines[0].report = report
        await site.wait(lambda: site.engines[0].n_reports >= 2)
        assert not find_slow(site.entry.session.state)
        assert (await site.call(PLAN_PATH)).status == 200

    run_site(test, engines=(stream,))


def test_engine_that_does_not_report_is_polled_again_and_used() -> None:
    """One engine does not respond to polls; the others are polled nevertheless."""

    async def test(site: Site) -> None:
        site.engines[0].is_silent_on_reports = True
        site.engines[1].pace = 5.0
        state = site.entry.session.state
        await site.wait(lambda: find_slow(state) == {"e1"})
        await site.wait(lambda: site.engines[0].n_reports >= 2)
        for _ in range(N_CALLS):
            assert (await site.call(PLAN_PATH)).status == 200
        assert site.engines[0].calls
        assert not site.engines[1].calls

    run_site(test, engines=(stream,) * 3)


def test_one_vm_polls_for_all() -> None:
    """Three VMs poll an engine once a second in total, not three times."""

    async def test(fleet: EntryFleet) -> None:
        async with StandInReplica("slow", stream) as engine:
            engine.pace = 4.0
            entry = build_entry(ENGINES, engine.address)
            fleet.store.put("servers/slow", entry)
            vms: tuple[EntryVm, ...] = tuple(fleet.vms.values())
            await fleet.wait(lambda: all("slow" in find_slow(vm.state) for vm in vms))
            n_before = engine.n_reports
            await asyncio.sleep(2.5 * POLL_INTERVAL_MS / 1_000)
            assert 1 <= engine.n_reports - n_before <= 3
            engine.pace = 1.0
            await fleet.wait(
                lambda: not any("slow" in find_slow(vm.state) for vm in vms)
            )

    run_fleet(test)
