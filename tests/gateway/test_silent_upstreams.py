"""Upstreams of the own interface that fall silent for longer than the idle timeout."""

from __future__ import annotations

import time
from typing import NamedTuple

import aiohttp
import msgspec
import pytest
import uvloop
from tests.support.fleet import API_KEY, Fleet, FleetSettings
from tests.support.fleet.waiting import wait_for

from quetzaldeck.gateway.settings import UpstreamBounds
from quetzaldeck.standin.faults import ServiceFaults

IDLE_MS = 300
PAUSE_MS = 4 * IDLE_MS
HANG_MS = 60_000
DEADLINE_MS = 5_000
MAX_LATE_MS = 1_000.0
"""Time for the retry, and for a test machine that is busy."""


class Answer(NamedTuple):
    """What a caller received, and after which time."""

    status: int
    body: dict[str, object]
    spent_ms: float


def make_settings(n_services: int) -> FleetSettings:
    return FleetSettings(
        n_vms=1,
        n_engines=0,
        n_services=n_services,
        upstreams=UpstreamBounds(idle_ms=IDLE_MS),
    )


def slow(fleet: Fleet, extra_ms: dict[str, int]) -> None:
    for name, duration_ms in extra_ms.items():
        fleet.services[name].faults = ServiceFaults(extra_duration_ms=duration_ms)


async def look_up(fleet: Fleet, *, deadline_ms: int = DEADLINE_MS) -> Answer:
    headers = {
        "Authorization": f"Bearer {API_KEY}",
        "X-Deadline-Ms": str(deadline_ms),
    }
    url = fleet.gateway_addresses[0] + "/desk/places"
    began_s = time.monotonic()
    async with (
        aiohttp.ClientSession() as client,
        client.get(url, headers=headers) as response,
    ):
        body = msgspec.json.decode(await response.read())
        spent_ms = (time.monotonic() - began_s) * 1_000
        return Answer(response.status, body, spent_ms)


async def wait_until_nothing_runs(fleet: Fleet) -> None:
    gateway = fleet.vms["entry-1"].gateway
    await wait_for(lambda: gateway.session.state.dispatch.n_running == 0)


@pytest.mark.parametrize("n_services", [1, 2, 3])
def test_look_up_is_answered_though_all_services_are_silent_for_long(
    n_services: int,
) -> None:
    """A look-up under way is ended for a silence, and so is each that replaces it."""

    async def run() -> None:
        async with Fleet(make_settings(n_services)) as fleet:
            slow(fleet, dict.fromkeys(fleet.services, PAUSE_MS))
            answer = await look_up(fleet)
            assert answer.status == 200, answer
            assert answer.spent_ms < PAUSE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())


def test_look_up_is_answered_though_its_connection_is_lost() -> None:
    """The only service is not asked again, as the silence may be its own."""

    async def run() -> None:
        async with Fleet(make_settings(1)) as fleet:
            assert (await look_up(fleet)).status == 200
            fleet.services["desk-1"].silence_connections()
            answer = await look_up(fleet)
            assert answer.status == 200, answer
            assert answer.spent_ms < IDLE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())


def test_look_up_is_answered_though_what_replaces_it_hangs() -> None:
    """A look-up is ended for a silence, and its replacement never answers."""

    async def run() -> None:
        async with Fleet(make_settings(2)) as fleet:
            slow(fleet, {"desk-1": HANG_MS, "desk-2": PAUSE_MS})
            for _ in range(4):
                answer = await look_up(fleet)
                assert answer.status == 200, answer
                assert answer.spent_ms < IDLE_MS + PAUSE_MS + MAX_LATE_MS

    uvloop.run(run())


def test_look_up_whose_service_hangs_is_answered_by_another() -> None:
    """A service that hangs is waited for to the end of the deadline."""

    async def run() -> None:
        async with Fleet(make_settings(2)) as fleet:
            slow(fleet, {"desk-1": HANG_MS})
            for _ in range(4):
                answer = await look_up(fleet)
                assert answer.status == 200, answer
                assert answer.spent_ms < IDLE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())


def test_look_up_whose_services_all_hang_ends_with_its_deadline() -> None:
    """Attempts that were replaced stay behind when their call ends."""

    async def run() -> None:
        async with Fleet(make_settings(3)) as fleet:
            slow(fleet, dict.fromkeys(fleet.services, HANG_MS))
            answer = await look_up(fleet, deadline_ms=PAUSE_MS)
            assert answer.status == 504
            assert answer.spent_ms < PAUSE_MS + MAX_LATE_MS
            await wait_until_nothing_runs(fleet)

    uvloop.run(run())
