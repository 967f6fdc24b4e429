"""Requests that reach a gateway before its first bundle."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
import uvloop
from tests.support.fleet import API_KEY, Fleet, FleetSettings

from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.http import ListenAddress

FREE_PORT = ListenAddress("127.0.0.1", 0)
BUNDLE_DELAY_S = 0.3
NO_AGENT = "http://127.0.0.1:1"


async def list_models(deadline_ms: int) -> int:
    """:returns: status of a request that arrives before the bundle"""
    gateway = GatewayService(GatewaySettings("entry-1", "ktm-a", FREE_PORT, NO_AGENT))
    async with gateway, aiohttp.ClientSession() as client:
        loop = asyncio.get_running_loop()
        bundle = Fleet(FleetSettings(n_vms=0)).build_bundle()
        apply = gateway.session.state.apply_bundle
        loop.call_later(BUNDLE_DELAY_S, apply, bundle)
        headers = {
            "Authorization": f"Bearer {API_KEY}",
            "X-Deadline-Ms": str(deadline_ms),
        }
        url = f"{gateway.address}/v1/models"
        async with client.get(url, headers=headers) as response:
            return response.status


@pytest.mark.parametrize(("deadline_ms", "status"), [(10_000, 200), (300, 503)])
def test_request_waits_for_the_first_bundle(deadline_ms: int, status: int) -> None:
    """A load balancer whose probes time out sends calls to VMs that just started.

    They were refused with ``no_bundle`` in a rolling replacement.
    """
    assert uvloop.run(list_models(deadline_ms)) == status
