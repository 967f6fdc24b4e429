"""Other VMs that answer a request that is handed over with bytes without end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
from tests.entry.test_handover import CUT, run_partitioned
from tests.support.platform.site import LOOK_PATH

from quetzaldeck.entry.handler import CallHandler

if TYPE_CHECKING:
    import pytest
    from aiohttp import web
    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.partitions import Partition

BLOCK = b"word" * 16_384
INTERVAL_S = 0.005
HEAD = b"HTTP/1.1 200 OK\r\nQuetzaldeck-Response-Seal: mark\r\n\r\n"
MAX_BYTES = 3 * ((1 << 20) + 4 * len(BLOCK))
"""Three VMs are tried; the limit on a response and what is under way."""


def test_response_of_other_vm_is_left_that_does_not_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a response that is held whole until the caller's deadline."""
    n_sent_bytes = 0

    async def pour(handler: CallHandler, request: web.Request) -> web.StreamResponse:
        nonlocal n_sent_bytes
        transport = request.transport
        assert transport is not None
        transport.write(HEAD)
        while not transport.is_closing():
            transport.write(BLOCK)
            n_sent_bytes += len(BLOCK)
            await asyncio.sleep(INTERVAL_S)
        raise ConnectionResetError

    async def test(fleet: EntryFleet, partition: Partition) -> None:
        monkeypatch.setattr(CallHandler, "handle_handed_over", pour)
        for vm in fleet.vms.values():
            await vm.handover_service.stop()
            await vm.handover_service.start()
        async with aiohttp.ClientSession() as client:
            call = await partition.send(client, CUT, LOOK_PATH)
        assert call.status in (502, 503)
        assert 0 < n_sent_bytes <= MAX_BYTES

    run_partitioned(test, CUT)


__all__: tuple[str, ...] = ()
