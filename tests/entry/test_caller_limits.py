"""Requests at the very edge of the limits of the configuration, and beyond it."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pytest
from tests.support.platform.site import (
    HOST,
    KEY,
    LOOK_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

if TYPE_CHECKING:
    from tests.support.platform.site import Site

MAX_HEADER_BYTES = 16_384
MAX_BODY_BYTES = 200_000
HEADER_S = 2.0
IDLE_S = 10.0
LATENCY_S = 0.05
LIMITS = {
    "maxHeaderBytes": MAX_HEADER_BYTES,
    "maxBodyBytes": MAX_BODY_BYTES,
    "headerTimeoutMs": HEADER_S * 1_000,
    "idleTimeoutMs": IDLE_S * 1_000,
}
LINE = f"POST {LOOK_PATH} HTTP/1.1\r\n".encode()
FIELDS = (
    f"Host: {HOST}\r\nQuetzaldeck-Attempt-Id: a\r\nQuetzaldeck-Deadline-Ms: 3000\r\n"
    f"Quetzaldeck-Key: {KEY}\r\n"
).encode()
EMPTY = b"Content-Length: 0\r\n\r\n"


def pad(head: bytes, n_bytes: int) -> bytes:
    """:returns: a head of ``n_bytes``, with one long field"""
    n_missing = n_bytes - len(head) - len(b"X: \r\n")
    return head.replace(FIELDS, FIELDS + b"X: " + b"a" * n_missing + b"\r\n")


def pad_shortly(head: bytes, n_bytes: int) -> bytes:
    """:returns: a head of nearly ``n_bytes``, with the shortest fields"""
    n_fields = (n_bytes - len(head)) // len(b"a:\r\n")
    return head.replace(FIELDS, FIELDS + b"a:\r\n" * n_fields)


class Request(NamedTuple):
    """A request in parts, and the pause before each of them."""

    parts: tuple[bytes, ...]
    pause_s: float = 0.0
    limits: dict[str, float] = LIMITS


HEAD = LINE + FIELDS + EMPTY
BODY = b"a" * MAX_BODY_BYTES
LONG_PATH = LOOK_PATH.encode() + b"a" * (MAX_HEADER_BYTES - len(LINE))
WIDE = 60_000
PART_BYTES = 10

INSIDE = {
    "head": Request((pad(HEAD, MAX_HEADER_BYTES),)),
    "fields": Request((pad(HEAD, MAX_HEADER_BYTES + len(LINE)),)),
    "short fields": Request((pad_shortly(HEAD, MAX_HEADER_BYTES),)),
    "request line": Request((HEAD.replace(LOOK_PATH.encode(), LONG_PATH),)),
    "wide limit": Request(
        (pad(HEAD, WIDE),), limits={**LIMITS, "maxHeaderBytes": WIDE}
    ),
    "narrow limit": Request(
        (pad(HEAD, 500),), limits={**LIMITS, "maxHeaderBytes": 500}
    ),
    "slow head": Request(
        tuple(HEAD[n : n + PART_BYTES] for n in range(0, len(HEAD), PART_BYTES)),
        HEADER_S / (len(HEAD) // PART_BYTES + 1),
    ),
    "body": Request(
        (LINE + FIELDS + b"Content-Length: %d\r\n\r\n" % MAX_BODY_BYTES + BODY,)
    ),
    "empty lines": Request((b"\r\n" * 8 + HEAD,)),
}


async def send(site: Site, *requests: Request, idle_s: float = 0.0) -> bytes:
    """Send requests one after the other on a connection.

    :param idle_s: pause after the answer to each of them
    :returns: what is received until the VM closes the connection, or ``idle_s`` is over
    """
    reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
    received = b""
    for request in requests:
        for part in request.parts:
            await asyncio.sleep(request.pause_s)
            writer.write(part)
        try:
            received += await reader.read(65_536)
        except ConnectionError:
            break
        await asyncio.sleep(idle_s)
    writer.close()
    return received


async def publish(site: Site, limits: dict[str, float]) -> None:
    """Publish other limits and wait until they are in force."""
    site.store.put(CONFIGURATION_KEY, build_configuration(2, limits=limits))
    state = site.entry.session.state
    await site.wait(lambda: state.view is not None and state.view.version == 2)


@pytest.mark.parametrize("name", INSIDE)
def test_request_at_the_edge_of_the_limits_is_served(name: str) -> None:
    """Guards against limits that a client meets which keeps to those of the pages."""
    request = INSIDE[name]

    async def test(site: Site) -> None:
        await publish(site, request.limits)
        assert (await send(site, request)).startswith(b"HTTP/1.1 200")

    run_site(test)


def test_connection_is_used_again_that_was_idle_for_long() -> None:
    """Guards against a head that is cut off as its connection had been idle."""

    async def test(site: Site) -> None:
        await publish(site, LIMITS)
        slow = INSIDE["slow head"]
        received = await send(site, slow, slow, slow, idle_s=0.8 * IDLE_S)
        assert received.count(b"HTTP/1.1 200") == 3

    run_site(test)


def test_connection_is_closed_after_a_request_to_upgrade() -> None:
    """Guards against a connection on which nothing is answered any more."""
    head = HEAD.replace(EMPTY, b"Connection: upgrade\r\nUpgrade: websocket\r\n" + EMPTY)

    async def test(site: Site) -> None:
        received = await send(site, Request((head,)), Request((HEAD,)))
        assert received.count(b"HTTP/1.1 200") == 1
        assert b"Connection: close" in received
        assert (await site.call(LOOK_PATH)).status == 200

    run_site(test)


OUTSIDE = {
    "head": Request((pad(HEAD, MAX_HEADER_BYTES + len(LINE) + 100),)),
    "short fields": Request((pad_shortly(HEAD, MAX_HEADER_BYTES + len(LINE) + 100),)),
    "request line": Request(
        (HEAD.replace(LOOK_PATH.encode(), LONG_PATH + b"a" * 100),)
    ),
    "lowered limit": Request(
        (pad(HEAD, 700),), limits={**LIMITS, "maxHeaderBytes": 500}
    ),
}


@pytest.mark.parametrize("name", OUTSIDE)
def test_head_over_the_limit_is_refused(name: str) -> None:
    """Guards against a published limit on heads that is not applied."""
    request = OUTSIDE[name]

    async def test(site: Site) -> None:
        await publish(site, request.limits)
        received = await send(site, request)
        assert received.split(b" ")[1] == b"431"
        assert not site.desks[0].calls
        assert (await site.call(LOOK_PATH)).status == 200

    run_site(test)


@pytest.mark.parametrize("has_request", [False, True])
def test_idle_connection_is_closed_in_time(*, has_request: bool) -> None:
    """Guards against a published limit on idle connections that is not applied."""

    async def test(site: Site) -> None:
        await publish(site, LIMITS)
        loop = asyncio.get_running_loop()
        reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
        if has_request:
            writer.write(HEAD)
            assert (await reader.read(65_536)).startswith(b"HTTP/1.1 200")
        idle_from_s = loop.time()
        assert await reader.read() == b""
        assert IDLE_S <= loop.time() - idle_from_s + LATENCY_S <= IDLE_S + 1.0
        writer.close()

    run_site(test)
