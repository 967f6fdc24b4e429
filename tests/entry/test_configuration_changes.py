"""Calls beside versions of the configuration that follow each other within moments."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, Any

import aiohttp
import pytest
from tests.support.platform.replica import event
from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    DESK,
    ENGINES,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

    Change = Callable[[dict[str, Any], random.Random], None]

N_CALLS = 80
N_EVENTS = 8
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))
DEADLINE_MS = 4_000
PATHS = (PLAN_PATH, PLAN_PATH, LOOK_PATH, BOOK_PATH)
SILENCE_SHARE = 0.3
SILENCES_S = (1.2, 1.4)


def drop_routes(configuration: dict[str, Any], random_state: random.Random) -> None:
    routes = configuration["routes"]
    configuration["routes"] = [r for r in routes if random_state.random() < 0.6]


def move_routes(configuration: dict[str, Any], random_state: random.Random) -> None:
    for route in configuration["routes"]:
        if random_state.random() < 0.5:
            route["service"] = DESK if route["service"] == ENGINES else ENGINES


def drop_service(configuration: dict[str, Any], random_state: random.Random) -> None:
    name = random_state.choice((ENGINES, DESK))
    routes, services = configuration["routes"], configuration["services"]
    configuration["routes"] = [r for r in routes if r["service"] != name]
    configuration["services"] = [s for s in services if s["name"] != name]


def revoke_key(configuration: dict[str, Any], random_state: random.Random) -> None:
    configuration["tenants"][0]["apiKeys"] = ["another"]


def move_key(configuration: dict[str, Any], random_state: random.Random) -> None:
    other = {"name": f"not-{CUSTOMER}", "apiKeys": [KEY], "priority": 0}
    configuration["tenants"] = [other]


def require_no_keys(configuration: dict[str, Any], random_state: random.Random) -> None:
    del configuration["tenants"]


def shorten_limits(configuration: dict[str, Any], random_state: random.Random) -> None:
    limits = {"maxBodyBytes": 1_000, "headerTimeoutMs": 50, "idleTimeoutMs": 50}
    configuration["limits"] = limits


def shrink_engines(configuration: dict[str, Any], random_state: random.Random) -> None:
    for service in configuration["services"]:
        if "engine" in service:
            service["engine"] = {**service["engine"], "slots": 2, "kvCapacity": 50_000}


def forget_engines(configuration: dict[str, Any], random_state: random.Random) -> None:
    for service in configuration["services"]:
        service.pop("engine", None)


def bound_attempts(configuration: dict[str, Any], random_state: random.Random) -> None:
    for route in configuration["routes"]:
        route.update(maxAttempts=1, resumable=False)


def move_host(configuration: dict[str, Any], random_state: random.Random) -> None:
    for route in configuration["routes"]:
        route["host"] = "another.example"


CHANGES: tuple[Change, ...] = (
    drop_routes,
    move_routes,
    drop_service,
    revoke_key,
    move_key,
    require_no_keys,
    shorten_limits,
    shrink_engines,
    forget_engines,
    bound_attempts,
    move_host,
)


def build_handler(
    random_state: random.Random,
) -> Callable[[Arrival, Connection], Awaitable[None]]:
    """:returns: a sound replica that falls silent for a second now and then"""

    async def handle(arrival: Arrival, connection: Connection) -> None:
        is_silent = random_state.random() < SILENCE_SHARE
        pause_s = random_state.choice(SILENCES_S) if is_silent else 0.0
        if not arrival.target.startswith(PLAN_PATH):
            await asyncio.sleep(pause_s or random_state.uniform(0.0, 0.3))
            await connection.answer(arrival)
            return
        pause_at = random_state.randrange(-1, N_EVENTS + 1)
        if pause_at < 0:
            await asyncio.sleep(pause_s)
        await connection.begin_stream(arrival)
        for number in range(int(arrival.headers.get("last-event-id", "0")), N_EVENTS):
            await asyncio.sleep(pause_s if number == pause_at else 0.05)
            await connection.send_chunk(event(number + 1))
        if pause_at == N_EVENTS:
            await asyncio.sleep(pause_s)
        await connection.end_stream()

    return handle


async def change_configuration(site: Site, random_state: random.Random) -> None:
    """Publish versions until cancelled."""
    version = 1
    while True:
        await asyncio.sleep(random_state.uniform(0.05, 0.4))
        version += 1
        configuration = build_configuration(version)
        for change in random_state.sample(CHANGES, random_state.randrange(3)):
            change(configuration, random_state)
        site.store.put(CONFIGURATION_KEY, configuration)


async def find_loss(site: Site, path: str, body: bytes) -> str:
    """:returns: how a call was lost; ``""`` if it was answered or refused"""
    try:
        answer = await site.call(path, deadline_ms=DEADLINE_MS, body=body)
    except aiohttp.ClientError as error:
        return f"{path}: {error!r}"
    if not answer.is_whole:
        return f"{path}: status {answer.status}, ends after {answer.body!r}"
    if answer.status == 200 and answer.body not in (WHOLE, b"ok"):
        return f"{path}: complete with {answer.body!r}"
    return "" if answer.status < 500 or answer.status == 503 else f"{path}: {answer}"


@pytest.mark.parametrize("seed", [6, 30])
def test_calls_are_answered_or_refused_whatever_changes_beside_them(seed: int) -> None:
    """A call gets neither an answer nor a refusal, or holds a place after its end."""
    random_state = random.Random(seed)
    handler = build_handler(random_state)

    async def test(site: Site) -> None:
        changing = asyncio.create_task(change_configuration(site, random_state))
        calls = []
        for _ in range(N_CALLS):
            path = random_state.choice(PATHS)
            body = b"q" * random_state.choice((10, 2_000))
            calls.append(asyncio.create_task(find_loss(site, path, body)))
            await asyncio.sleep(0.04)
        assert [loss for loss in await asyncio.gather(*calls) if loss] == []
        changing.cancel()
        scheduler = site.entry.session.state.dispatch._scheduler
        await site.wait(lambda: scheduler.n_running == 0)
        assert scheduler.n_queued == 0
        assert [s.n_in_flight for s in scheduler.upstreams if s.n_in_flight] == []
        assert scheduler.placer.n_double_releases == 0

    run_site(test, engines=(handler,) * 3, desks=(handler,) * 3)
