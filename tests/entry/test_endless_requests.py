"""Callers that send bytes without end: in a head, in a body, or many requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pytest
from tests.support.platform.replica import event
from tests.support.platform.site import HOST, KEY, LOOK_PATH, PLAN_PATH, run_site

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

KIB = 1024
BLOCK_BYTES = 64 * KIB
FAST_INTERVAL_S = 0.005
SLOW_INTERVAL_S = 1.0
MAX_SLOW_S = 3.0 + 3 * SLOW_INTERVAL_S
"""The header timeout of the default limits. The first unit is sent after an interval,
an empty line before a head is allowed, and the next unit shows that the VM has closed
the connection."""

N_SLOW_EVENTS = 8
"""Events of a stream that lasts longer than a head may take."""

MAX_BODY_BYTES = 100_000
"""As in the configuration of the site."""

MAX_HEADER_BYTES = 16 * KIB
"""As the limits of the configuration are by default."""

MAX_UNUSED_BYTES = 2 * MAX_HEADER_BYTES
MAX_EMPTY_BYTES = 64
SLACK_BYTES = 256 * KIB
"""What is under way when a connection is closed."""

REQUEST = (
    f"POST {LOOK_PATH} HTTP/1.1\r\nHost: {HOST}\r\nQuetzaldeck-Attempt-Id: a\r\n"
    f"Quetzaldeck-Deadline-Ms: 3000\r\nQuetzaldeck-Key: {KEY}\r\n"
).encode()
CHUNKED = REQUEST + b"Transfer-Encoding: chunked\r\n\r\n"


MAX_PIPELINED = 64
"""Requests that may wait on a connection."""


class Flood(NamedTuple):
    """What a caller sends: the begin once, the unit without end."""

    begin: bytes
    unit: bytes


HEADS = {
    "blank lines": Flood(b"", b"\r\n"),
    "request line": Flood(b"GET /", b"a"),
    "one field": Flood(REQUEST + b"X-Field: ", b"a"),
    "many fields": Flood(REQUEST, b"X-Field: a\r\n"),
    "noise": Flood(b"", bytes(range(128, 256))),
}
BODIES = {
    "body without a length": Flood(
        CHUNKED, b"10000\r\n" + b"a" * BLOCK_BYTES + b"\r\n"
    ),
    "tiny chunks": Flood(CHUNKED, b"1\r\na\r\n"),
    "chunk extension": Flood(CHUNKED + b"5;extension=", b"a"),
    "extensions": Flood(CHUNKED, b"1;extension=" + b"a" * 4_000 + b"\r\na\r\n"),
    "chunk size": Flood(CHUNKED, b"0"),
    "trailers": Flood(CHUNKED + b"5\r\nhello\r\n0\r\n", b"X-Field: a\r\n"),
}


class Sending(NamedTuple):
    """What a connection took until it was closed."""

    n_bytes: int
    spent_s: float
    received: bytes


async def pour(
    site: Site, flood: Flood, *, is_fast: bool, max_s: float = 20.0
) -> Sending:
    """Send until the VM closes the connection.

    :raises TimeoutError: if it does not
    """
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
    reading = asyncio.create_task(_read(reader))
    n_units = max(1, BLOCK_BYTES // len(flood.unit)) if is_fast else 1
    data, n_bytes = flood.begin, 0
    try:
        async with asyncio.timeout(max_s):
            while not reading.done():
                writer.write(data)
                n_bytes += len(data)
                await writer.drain()
                await asyncio.sleep(FAST_INTERVAL_S if is_fast else SLOW_INTERVAL_S)
                data = flood.unit * n_units
    except ConnectionError:
        pass
    finally:
        writer.transport.abort()
    return Sending(n_bytes, loop.time() - begun_s, await reading)


async def _read(reader: asyncio.StreamReader) -> bytes:
    data = b""
    try:
        while part := await reader.read(BLOCK_BYTES):
            data += part
    except ConnectionError:
        pass
    return data


@pytest.mark.parametrize("kind", HEADS)
def test_connection_is_closed_whose_head_does_not_end(kind: str) -> None:
    """Guards against a head that takes memory and time without a bound."""

    async def test(site: Site) -> None:
        sending = await pour(site, HEADS[kind], is_fast=True)
        assert sending.n_bytes <= MAX_UNUSED_BYTES + SLACK_BYTES

    run_site(test)


@pytest.mark.parametrize("kind", HEADS)
def test_connection_is_closed_whose_head_is_slow(kind: str) -> None:
    """Guards against a head that stays incomplete for good, a byte a second."""

    async def test(site: Site) -> None:
        sending = await pour(site, HEADS[kind], is_fast=False)
        assert sending.spent_s <= MAX_SLOW_S

    run_site(test)


@pytest.mark.parametrize("kind", HEADS)
def test_connection_is_closed_whose_second_head_is_slow(kind: str) -> None:
    """Guards against a limit that holds for the first request of a connection only."""

    async def test(site: Site) -> None:
        first = REQUEST + b"Content-Length: 1\r\n\r\na"
        flood = HEADS[kind]
        sending = await pour(
            site, Flood(first + flood.begin, flood.unit), is_fast=False
        )
        assert sending.received.startswith(b"HTTP/1.1 200")
        assert sending.spent_s <= MAX_SLOW_S

    run_site(test)


@pytest.mark.parametrize("kind", BODIES)
def test_connection_is_closed_whose_body_does_not_end(kind: str) -> None:
    """Guards against bytes that are read on though they are no body any more."""

    async def test(site: Site) -> None:
        sending = await pour(site, BODIES[kind], is_fast=True)
        assert sending.n_bytes <= 2 * MAX_BODY_BYTES + MAX_UNUSED_BYTES + SLACK_BYTES
        answer = await site.call(LOOK_PATH)
        assert answer.status == 200

    run_site(test)


def test_pipelined_requests_are_not_read_without_a_bound() -> None:
    """Guards against requests that are held though none of them can be served yet."""
    request = REQUEST + b"Content-Length: 1\r\n\r\na"

    async def test(site: Site) -> None:
        asking = asyncio.create_task(
            pour(site, Flood(b"", request), is_fast=True, max_s=1.5)
        )
        await asyncio.sleep(1.0)
        handlers = site.entry.connections
        assert max(len(handler._messages) for handler in handlers) <= MAX_PIPELINED
        answer = await site.call(LOOK_PATH)
        assert answer.status == 200
        with pytest.raises(TimeoutError):
            await asking

    run_site(test, is_virtual=False)


CLOSED_FOR = {
    "empty_lines": (HEADS["blank lines"], MAX_EMPTY_BYTES),
    "head_bytes": (HEADS["many fields"], MAX_UNUSED_BYTES),
    "unused_bytes": (BODIES["trailers"], MAX_UNUSED_BYTES),
}


@pytest.mark.parametrize("kind", CLOSED_FOR)
def test_log_names_the_bound_and_what_was_seen(
    capsys: pytest.CaptureFixture[str], kind: str
) -> None:
    """Guards against a closed connection whose cause operators cannot see."""
    flood, bound = CLOSED_FOR[kind]

    async def test(site: Site) -> None:
        await pour(site, flood, is_fast=True)
        broken = site.entry.session.state.metrics.connections_broken
        assert broken.labels(kind)._value.get() == 1

    run_site(test)
    lines = capsys.readouterr().err.splitlines()
    (line,) = [line for line in lines if "event=request_over_bound" in line]
    assert f"kind={kind} n_connections=1 bound={bound} seen=" in line


SOUND = {
    "small chunks": [
        CHUNKED,
        *[b"20\r\n" + b"b" * 32 + b"\r\n"] * (MAX_BODY_BYTES // 32),
        b"0\r\n\r\n",
    ],
    "slow body": [
        REQUEST + b"Content-Length: 4\r\n\r\n",
        *[b"a"] * 4,
    ],
    "slow head": [
        REQUEST[:40],
        REQUEST[40:80],
        REQUEST[80:] + b"Content-Length: 1\r\n\r\na",
    ],
    "empty line after a body": [
        REQUEST + b"Content-Length: 1\r\n\r\na",
        b"\r\n",
        *[b""] * 8,
        REQUEST + b"Connection: close\r\nContent-Length: 1\r\n\r\na",
    ],
}


@pytest.mark.parametrize("kind", SOUND)
def test_sound_request_is_not_cut(kind: str) -> None:
    """Guards against bounds that end requests within the limits of the platform."""
    parts = SOUND[kind]

    async def test(site: Site) -> None:
        reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
        reading = asyncio.create_task(_read(reader))
        for part in parts:
            writer.write(part)
            await asyncio.sleep(0.5 if len(parts) < 100 else 0.0001)
        await asyncio.sleep(1.0)
        writer.close()
        received = await reading
        assert received.count(b"HTTP/1.1 200") == parts.count(b"\r\n") + 1

    run_site(test)


@pytest.mark.parametrize("follows", [b"\r\n", b"POST /next"], ids=["line", "head"])
def test_response_under_way_is_not_cut_by_what_follows_its_request(
    follows: bytes,
) -> None:
    """Guards against a stream that is cut as its caller sends on."""

    async def write_slowly(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for number in range(1, N_SLOW_EVENTS + 1):
            await connection.send_chunk(event(number))
            await asyncio.sleep(0.5)
        await connection.end_stream()

    async def test(site: Site) -> None:
        reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
        reading = asyncio.create_task(_read(reader))
        request = REQUEST.replace(LOOK_PATH.encode(), PLAN_PATH.encode())
        request = request.replace(b"Deadline-Ms: 3000", b"Deadline-Ms: 60000")
        writer.write(request + b"Content-Length: 0\r\n\r\n")
        await asyncio.sleep(0.1)
        writer.write(follows)
        await asyncio.sleep(N_SLOW_EVENTS * 0.5 + 1.0)
        writer.close()
        assert (await reading).count(b"data: ") == N_SLOW_EVENTS

    run_site(test, engines=(write_slowly,))


__all__: tuple[str, ...] = ()
