"""Faulty responses: a caller gets its own complete response or an error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.replica import SEAL, build_head
from tests.support.platform.site import BOOK_PATH, LOOK_PATH, run_site

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


async def send_unframed(arrival: Arrival, connection: Connection) -> None:
    """Send half a response body without a content length."""
    await connection.send(build_head(arrival, 200, "Connection: close", SEAL))
    await connection.send(b"half of the bo")
    await asyncio.sleep(0.05)


def test_response_without_length_that_is_reset_is_not_whole() -> None:
    """Guards against a truncated response that is forwarded as complete.

    The replica sends a response that ends with its connection and crashes, which resets
    the connection. aiohttp returns the bytes received so far as the whole body.
    """

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await send_unframed(arrival, connection)
        connection.reset()

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert answer.status == 502
        assert "quetzaldeck-response-seal" not in answer.headers

    run_site(test, desks=(behave,))


def test_response_without_length_that_ends_in_order_is_whole() -> None:
    async def behave(arrival: Arrival, connection: Connection) -> None:
        await send_unframed(arrival, connection)
        connection.close()

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert (answer.status, answer.body) == (200, b"half of the bo")

    run_site(test, desks=(behave,))


def test_second_response_to_a_request_is_dropped() -> None:
    """Guards against a caller that receives the response to another's request.

    The replica responds to a request twice. The second response stays in the connection
    and is taken for the response to the next request on it.
    """

    async def behave(arrival: Arrival, connection: Connection) -> None:
        body = arrival.target.encode()
        await connection.answer(arrival, body=body)
        await connection.answer(arrival, body=body)

    async def test(site: Site) -> None:
        for number in range(6):
            answer = await site.call(f"/book/{number}")
            assert answer.body == f"/book/{number}".encode()

    run_site(test, desks=(behave,))


def test_late_second_response_is_dropped() -> None:
    """Guards against a second response that arrives after the next request was sent.

    Only the echoed id shows which request the late response belongs to; the expected
    response follows it.
    """
    previous: list[Arrival] = []

    async def behave(arrival: Arrival, connection: Connection) -> None:
        for late in previous:
            await connection.answer(late, body=late.target.encode())
        previous[:] = [arrival]
        await connection.answer(arrival, body=arrival.target.encode())

    async def test(site: Site) -> None:
        for number in range(6):
            answer = await site.call(f"/book/{number}")
            assert answer.body == f"/book/{number}".encode()
        assert len(site.desks[0].calls) == 6

    run_site(test, desks=(behave,))


def test_bytes_that_are_not_http_are_not_forwarded() -> None:
    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.send(b"\x16\x03\x01 nonsense\r\n\r\n")

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert answer.status == 502
        assert b"nonsense" not in answer.body

    run_site(test, desks=(behave,))


def test_response_without_seal_or_with_an_encoding_is_not_forwarded() -> None:
    async def unsealed(arrival: Arrival, connection: Connection) -> None:
        await connection.send(build_head(arrival, 200, "Content-Length: 2") + b"ok")

    async def encoded(arrival: Arrival, connection: Connection) -> None:
        await connection.answer(arrival, body=b"zz", head="Content-Encoding: gzip")

    async def test(site: Site) -> None:
        assert (await site.call(BOOK_PATH)).status == 502

    run_site(test, desks=(unsealed,))
    run_site(test, desks=(encoded,))


def test_early_response_does_not_corrupt_the_next_request() -> None:
    """Guards against a request that is read as the rest of the previous one's body.

    The replica responds before it has read a long body. If the connection were reused
    while the rest is unsent, the replica would take the next request for that rest.
    """

    async def test(site: Site) -> None:
        first = await site.call(LOOK_PATH, body=b"x" * 90_000)
        second = await site.call("/look/second", body=b"second")
        assert (first.status, second.status) == (200, 200)
        assert site.desks[0].calls[-1].body == b"second"

    run_site(test)


def test_error_response_of_a_replica_is_forwarded_if_no_retry_is_possible() -> None:
    async def fail(arrival: Arrival, connection: Connection) -> None:
        await connection.answer(arrival, status=500, body=b"own failure")

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert (answer.status, answer.body) == (500, b"own failure")
        assert answer.headers["quetzaldeck-response-seal"] == "mark"
        assert len(site.desks[0].calls) == 1

    run_site(test, desks=(fail,))
