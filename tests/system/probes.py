"""HTTP requests with which tests probe programs and control stand-ins."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

if TYPE_CHECKING:
    from tests.system.program_process import ProgramProcess

READY_TIMEOUT_S = 30.0
POLL_S = 0.05


async def post_json(url: str, body: Any) -> None:
    """Post a JSON body to an endpoint of a stand-in.

    :raises aiohttp.ClientError: if the request is refused
    """
    async with (
        aiohttp.ClientSession() as client,
        client.post(url, data=msgspec.json.encode(body)) as response,
    ):
        response.raise_for_status()


async def inject_faults(process: ProgramProcess, **request: Any) -> None:
    """Inject faults into a stand-in; see ``quetzaldeck.standin.fault_request``."""
    await post_json(process.address + "/standin/faults", request)


async def wait_listening(address: str) -> None:
    """Wait until the program at ``address`` responds, with any status."""
    await _wait_status(address + "/healthz", None)


async def wait_ready(address: str) -> None:
    """Wait until the program at ``address`` reports that it is ready."""
    await _wait_status(address + "/readyz", 200)


async def _wait_status(url: str, status: int | None) -> None:
    async with asyncio.timeout(READY_TIMEOUT_S), aiohttp.ClientSession() as client:
        while True:
            with suppress(aiohttp.ClientError):
                async with client.get(url) as response:
                    if status in (None, response.status):
                        return
            await asyncio.sleep(POLL_S)


__all__ = ("inject_faults", "post_json", "wait_listening", "wait_ready")
