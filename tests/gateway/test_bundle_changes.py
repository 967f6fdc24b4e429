"""Requests that wait while the bundle changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings
from tests.support.fleet.waiting import wait_for
from tests.support.virtual_time import run_by_default

from quetzaldeck.clock import Clock
from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.customers import hash_key

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bundle import Bundle
    from quetzaldeck.gateway.service import GatewayService

    Change = Callable[[Bundle], Bundle]

BUSY_MS = 3_000
MAX_REFUSAL_MS = 1_000.0
"""Time until a refusal, counted from the publication of a bundle."""

SETTINGS = FleetSettings(
    n_vms=1,
    n_engines=1,
    service_duration_ms=BUSY_MS,
    profile=EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=BUSY_MS / 20),
)


def revoke_key(bundle: Bundle) -> Bundle:
    customer = bundle.customers[0]._replace(key_hashes=(hash_key("another"),))
    return bundle._replace(customers=(customer,))


def take_targets(bundle: Bundle) -> Bundle:
    customer = bundle.customers[0]._replace(models=(), services=())
    return bundle._replace(customers=(customer,))


def drop_service(bundle: Bundle) -> Bundle:
    customer = bundle.customers[0]._replace(services=())
    upstreams = tuple(spec for spec in bundle.upstreams if not spec.service)
    return bundle._replace(services=(), customers=(customer,), upstreams=upstreams)


def limit_places(bundle: Bundle, version: int) -> Bundle:
    specs = tuple(spec._replace(max_requests=1) for spec in bundle.upstreams)
    return bundle._replace(version=version, upstreams=specs)


def gateway_of(fleet: Fleet) -> GatewayService:
    return fleet.vms["entry-1"].gateway


async def call(fleet: Fleet, client: aiohttp.ClientSession, kind: str) -> int:
    """:returns: the status of one call"""
    address = gateway_of(fleet).address
    headers = {"Authorization": f"Bearer {API_KEY}", "X-Deadline-Ms": "20000"}
    if kind == "look_up":
        async with client.get(address + "/desk/places", headers=headers) as response:
            await response.read()
            return response.status
    body = {"model": MODEL, "prompt": "plan", "max_tokens": 20}
    url = address + "/v1/completions"
    async with client.post(url, json=body, headers=headers) as response:
        await response.read()
        return response.status


async def put_in_force(fleet: Fleet, bundle: Bundle) -> None:
    await fleet.publish(bundle)
    state = gateway_of(fleet).session.state
    await wait_for(lambda: state.bundle_version == bundle.version)


@pytest.mark.parametrize(
    ("kind", "change", "status"),
    [
        ("look_up", revoke_key, 401),
        ("look_up", take_targets, 404),
        ("look_up", drop_service, 404),
        ("completion", revoke_key, 401),
        ("completion", take_targets, 404),
    ],
)
def test_waiting_request_is_refused_once_the_bundle_does_not_allow_it(
    kind: str, change: Change, status: int
) -> None:
    """A request waits for a place, and runs although its key is revoked by then.

    The one that runs already is answered.
    """

    async def run() -> None:
        async with (
            asyncio.timeout(30),
            Fleet(SETTINGS) as fleet,
            aiohttp.ClientSession() as client,
        ):
            await put_in_force(fleet, limit_places(fleet.build_bundle(), 2))
            dispatch = gateway_of(fleet).session.state.dispatch
            running = asyncio.create_task(call(fleet, client, kind))
            await wait_for(lambda: dispatch.n_running == 1)
            waiting = asyncio.create_task(call(fleet, client, kind))
            await wait_for(lambda: dispatch.n_queued == 1)
            await put_in_force(fleet, change(limit_places(fleet.build_bundle(), 3)))
            clock = Clock()
            began_ms = clock.now_ms()
            assert await waiting == status
            assert clock.now_ms() - began_ms < MAX_REFUSAL_MS
            assert await running == 200
            assert len(fleet.executions) == (1 if kind == "look_up" else 0)
            await wait_for(lambda: dispatch.n_running == dispatch.n_queued == 0)

    run_by_default(run())
