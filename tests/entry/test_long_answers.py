"""Sound responses that are long, or come slowly: none of them is cut off."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.pouring import AFTER_FLOODS, Pourer, frame_chunk
from tests.support.platform.replica import SEAL, event
from tests.support.platform.site import (
    HOST,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    run_site,
)

from quetzaldeck.entry.settings import MAX_ANSWER_BYTES, EntryBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

N_EVENTS = 20_000
N_TINY_EVENTS = 4_000
LONG_BODY = bytes(range(256)) * (MAX_ANSWER_BYTES // 256)
CHUNK_BYTES = 5
COMMENT = b": still here\n\n"
CHUNKED = "Transfer-Encoding: chunked"


def count_sent(site: Site) -> int:
    """:returns: calls that replicas received"""
    return sum(len(replica.calls) for replica in (*site.engines, *site.desks))


def run_one_attempt(
    path: str, behave: Callable[[Arrival, Connection], object], body: bytes
) -> None:
    """Check that one call is answered whole, by the replica that it is sent to."""

    async def test(site: Site) -> None:
        received = await site.call(path)
        assert received.status == 200
        assert received.is_whole
        assert received.body == body
        assert count_sent(site) == 1

    run_site(test, engines=(behave, behave), desks=(behave, behave))


@pytest.mark.parametrize("is_own_chunk", [True, False], ids=["chunk_each", "joined"])
def test_stream_of_many_small_events_is_forwarded(*, is_own_chunk: bool) -> None:
    """Guards against a long stream that looks like bytes without end."""
    events = [event(number, "") for number in range(1, N_EVENTS + 1)]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for start in range(0, N_EVENTS, 500):
            batch = events[start : start + 500]
            if not is_own_chunk:
                batch = [b"".join(batch)]
            await connection.send(b"".join(map(frame_chunk, batch)))
            await asyncio.sleep(0.02)
        await connection.end_stream()

    run_one_attempt(PLAN_PATH, behave, b"".join(events))


def test_stream_written_byte_by_byte_is_not_cut() -> None:
    """Guards against a sound stream in small chunks that looks like framing alone."""
    events = [event(number, "") for number in range(1, N_TINY_EVENTS + 1)]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for data in events:
            parts = [data[index : index + 1] for index in range(len(data))]
            await connection.send(b"".join(map(frame_chunk, parts)))
            await asyncio.sleep(0.001)
        await connection.end_stream()

    async def test(site: Site) -> None:
        received = await site.call(PLAN_PATH, deadline_ms=5_000)
        assert received.is_whole
        assert received.body == b"".join(events)
        assert count_sent(site) == 1

    run_site(test, engines=(behave, behave))


def test_comments_between_events_are_forwarded_as_they_come() -> None:
    """Guards against keep-alives that callers miss, or that end their stream."""
    parts: list[bytes] = []
    for number in range(1, 6):
        parts += [event(number), *[COMMENT] * 8]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for part in parts:
            await connection.send_chunk(part)
            await asyncio.sleep(0.05)
        await connection.end_stream()

    run_one_attempt(PLAN_PATH, behave, b"".join(parts))


def test_comments_before_the_first_event_come_with_it() -> None:
    """Guards against a stream that has begun, and cannot move to a sound replica."""
    parts = [COMMENT, COMMENT, event(1)]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for part in parts:
            await connection.send_chunk(part)
            await asyncio.sleep(0.1)
        await connection.end_stream()

    run_one_attempt(PLAN_PATH, behave, b"".join(parts))


@pytest.mark.parametrize("fills", [True, False], ids=["comments", "nothing"])
def test_stream_goes_on_after_a_silence_that_nothing_replaces(*, fills: bool) -> None:
    """Guards against a sound replica that is left for good as it was silent."""
    waits = 20

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        for _ in range(waits):
            await asyncio.sleep(0.1)
            if fills:
                await connection.send_chunk(COMMENT)
        await connection.send_chunk(event(2))
        await connection.end_stream()

    async def test(site: Site) -> None:
        received = await site.call(PLAN_PATH)
        assert received.status == 200
        assert received.is_whole
        comments = COMMENT * waits if fills else b""
        assert received.body == event(1) + comments + event(2)
        assert count_sent(site) == 1

    run_site(test, engines=(behave,))


def test_replica_may_repeat_what_the_caller_has() -> None:
    """Guards against a resumed stream that is cut as it begins with what is known."""
    long_event = [event(number, "x" * 20_000) for number in range(1, 11)]

    async def break_off(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for data in long_event[:9]:
            await connection.send_chunk(data)
        await asyncio.sleep(0.1)
        connection.close()

    async def start_again(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for data in long_event:
            await connection.send_chunk(data)
        await connection.end_stream()

    async def test(site: Site) -> None:
        for _ in range(20):
            received = await site.call(PLAN_PATH)
            assert received.status == 200
            assert received.is_whole
            assert received.body == b"".join(long_event)
            if site.engines[0].calls:
                break
        assert site.engines[0].calls

    bounds = EntryBounds(retry_ratio=1.0)
    run_site(test, engines=(break_off, start_again), bounds=bounds)


@pytest.mark.parametrize("framing", ["length", "chunks", "small_chunks", "none"])
def test_body_as_long_as_allowed_is_forwarded(framing: str) -> None:
    """Guards against a bound that counts more than the body."""

    async def behave(arrival: Arrival, connection: Connection) -> None:
        n_bytes = CHUNK_BYTES if framing == "small_chunks" else 100_000
        body = (
            LONG_BODY[: 50_000 * CHUNK_BYTES] if n_bytes == CHUNK_BYTES else LONG_BODY
        )
        if framing == "length":
            field = f"Content-Length: {len(body)}"
        else:
            field = "" if framing == "none" else CHUNKED
        await connection.send(connection.build_head(arrival, 200, field, SEAL))
        is_chunked = field == CHUNKED
        parts = [body[i : i + n_bytes] for i in range(0, len(body), n_bytes)]
        for start in range(0, len(parts), 2_000):
            batch = parts[start : start + 2_000]
            await connection.send(
                b"".join(map(frame_chunk, batch) if is_chunked else batch)
            )
        if is_chunked:
            await connection.end_stream()
        if framing == "none":
            connection.close()

    whole = LONG_BODY
    if framing == "small_chunks":
        whole = LONG_BODY[: 50_000 * CHUNK_BYTES]
    run_one_attempt(LOOK_PATH, behave, whole)


def test_body_that_is_announced_as_too_long_is_not_read() -> None:
    """Guards against memory for a body that is going to be refused."""
    n_received = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_received
        n_received += 1
        field = f"Content-Length: {MAX_ANSWER_BYTES + 1}"
        await connection.send(connection.build_head(arrival, 200, field, SEAL))
        await asyncio.sleep(10)

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        received = await site.call("/book/1")
        assert received.status == 502
        assert loop.time() - begun_s < 1.0
        assert n_received == 1

    run_site(test, desks=(behave,))


def test_body_goes_on_after_a_second_of_silence() -> None:
    """Guards against a look-up that fails as its only replica was silent."""

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.send(
            connection.build_head(arrival, 200, "Content-Length: 6", SEAL) + b"ans"
        )
        await asyncio.sleep(1.0)
        await connection.send(b"wer")

    async def test(site: Site) -> None:
        received = await site.call(LOOK_PATH)
        assert (received.status, received.body) == (200, b"answer")
        assert count_sent(site) == 1

    run_site(test, desks=(behave,))


def test_stream_to_a_slow_caller_is_not_cut() -> None:
    """Guards against bytes that wait for a caller and count against the replica."""
    events = [event(number, "x" * 2_000) for number in range(1, 2_001)]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        for data in events:
            await connection.send_chunk(data)
        await connection.end_stream()

    async def test(site: Site) -> None:
        host, _, port = site.entry_address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port), limit=4_096)
        fields = (
            f"POST {PLAN_PATH} HTTP/1.1",
            f"Host: {HOST}",
            "Quetzaldeck-Attempt-Id: slow",
            "Quetzaldeck-Deadline-Ms: 20000",
            f"Quetzaldeck-Key: {KEY}",
            "Quetzaldeck-Token-Counts: 1000,100",
            "Content-Length: 0",
        )
        writer.write(("\r\n".join(fields) + "\r\n\r\n").encode())
        received = bytearray()
        while not received.endswith(b"0\r\n\r\n"):
            data = await reader.read(65_536)
            assert data, "the stream was cut"
            received += data
            await asyncio.sleep(0.01)
        writer.close()
        assert received.count(b"id: ") == len(events)
        assert count_sent(site) == 1

    run_site(test, engines=(behave, behave))


@pytest.mark.parametrize("kind", sorted(AFTER_FLOODS))
def test_answer_counts_though_bytes_without_end_follow_it(kind: str) -> None:
    """Guards against a flood on a connection that waits for its next request."""
    pourer = Pourer(AFTER_FLOODS[kind])

    async def test(site: Site) -> None:
        for _ in range(3):
            received = await site.call(LOOK_PATH)
            assert (received.status, received.body) == (200, b"sound")
            await asyncio.sleep(0.1)
        await site.wait(lambda: pourer.n_closed == pourer.n_calls == 3)
        assert pourer.max_sent_bytes < 256 * 1024

    run_site(test, desks=(pourer.pour,))


__all__: tuple[str, ...] = ()
