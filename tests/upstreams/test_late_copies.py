"""A plain service that sends an answer again where the next one is expected."""

from __future__ import annotations

import asyncio

import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.http.echoed_calls import CALL_ID_HEADER
from quetzaldeck.upstreams import ServiceCall, UpstreamTimeouts
from quetzaldeck.upstreams.http_service import HttpService
from quetzaldeck.upstreams.pools import ConnectionPool
from quetzaldeck.upstreams.watch import NoWatch

TIMEOUT_MS = 5_000
N_CALLS = 2
ID_FIELD = CALL_ID_HEADER.encode()


async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer each request with its path, after a copy of the answer before."""
    answer = b""
    for _ in range(N_CALLS):
        head = await reader.readuntil(b"\r\n\r\n")
        path, fields = head.split()[1], head.split(b"\r\n")
        (call_id,) = (field for field in fields if field.startswith(ID_FIELD))
        writer.write(answer)
        length = b"Content-Length: %d" % len(path)
        answer = b"\r\n".join([b"HTTP/1.1 200 OK", call_id, length, b"", path])
        await asyncio.sleep(0.02)
        writer.write(answer)


async def call_twice() -> list[bytes]:
    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    spec = UpstreamSpec("desk", f"http://127.0.0.1:{port}", kind="service")
    pool = ConnectionPool(1)
    async with server, pool.session as session:
        adapter = HttpService(spec, session, UpstreamTimeouts())
        calls = [ServiceCall("GET", f"/{n}", (), b"") for n in range(N_CALLS)]
        return [(await adapter.call(c, TIMEOUT_MS, NoWatch())).body for c in calls]


def test_call_does_not_take_the_copy_of_another_answer() -> None:
    """Guards against a caller of the own interface who gets another one's answer."""
    assert uvloop.run(call_twice()) == [b"/0", b"/1"]
