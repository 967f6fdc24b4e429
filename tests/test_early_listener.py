"""Tests of the socket that an entry VM opens before it imports its modules."""

from __future__ import annotations

import asyncio
import socket
from typing import TYPE_CHECKING

import pytest
import uvloop
from aiohttp import ClientSession, web

from quetzaldeck.early_listener import open_early_listener
from quetzaldeck.http import HttpServiceBase, ListenAddress

if TYPE_CHECKING:
    from pathlib import Path


class Greeter(HttpServiceBase):
    """Answers every request."""

    async def open(self) -> web.Application:
        application = web.Application()
        application.add_routes([web.get("/", self._greet)])
        return application

    async def close(self) -> None:
        """Do nothing; there are no tasks to stop."""

    async def _greet(self, request: web.Request) -> web.Response:
        return web.Response(text="hello")


def write_settings(path: Path, callers: str, *, peer_port: int = 1) -> str:
    settings = path / "entry.yaml"
    settings.write_text(
        f'vm: a\nlisten:\n  callers: "{callers}"\n'
        f'seeds: ["127.0.0.1:1", "127.0.0.2:1"]\npeer_port: {peer_port}\n'
    )
    return str(settings)


def test_caller_who_connects_before_the_program_is_loaded_is_served(
    tmp_path: Path,
) -> None:
    """Guards against refused connections while all VMs restart at once."""
    listener = open_early_listener(write_settings(tmp_path, "127.0.0.1:0"))
    assert listener is not None
    host, port = listener.getsockname()
    early = socket.create_connection((host, port), timeout=5.0)
    early.sendall(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

    async def serve() -> tuple[bytes, str]:
        service = Greeter(ListenAddress(host, port), listener=listener)
        await service.start()
        try:
            with early:
                first = await asyncio.to_thread(early.makefile("rb").read)
            await service.stop_listening()
            await service.listen()
            async with ClientSession() as client, client.get(service.address) as later:
                return first, await later.text()
        finally:
            await service.stop()

    first, later = uvloop.run(serve())
    assert first.endswith(b"hello")
    assert later == "hello"


def test_callers_are_left_to_other_vms_while_these_run(tmp_path: Path) -> None:
    """Guards against callers that wait for a restart although others could serve."""
    with socket.create_server(("127.0.0.2", 0)) as peer:
        port = peer.getsockname()[1]
        settings = write_settings(tmp_path, "127.0.0.1:0", peer_port=port)
        assert open_early_listener(settings) is None
    listener = open_early_listener(settings)
    assert listener is not None
    listener.close()


@pytest.mark.parametrize(
    "callers", ["", "127.0.0.1:http", "127.0.0.1:99999", "256.0.0.1:80"]
)
def test_faulty_address_is_left_to_the_program(tmp_path: Path, callers: str) -> None:
    assert open_early_listener(write_settings(tmp_path, callers)) is None
    assert open_early_listener(str(tmp_path / "missing.yaml")) is None
