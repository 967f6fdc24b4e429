"""Answers that come with neither a length nor chunks, and end with their connection."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.replica import SEAL, event
from tests.support.platform.site import LOOK_PATH, PLAN_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

N_EVENTS = 5
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))
BODY = b"answer" * 1_000
STREAM_FIELD = "Content-Type: text/event-stream"
MIN_CALLS = 4
MAX_CALLS = 40
"""Calls until each replica is chosen first for one of them. Placement is random."""


def list_missing(arrival: Arrival) -> list[bytes]:
    """:returns: the events after the one that a request names"""
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    return [event(number) for number in range(first, N_EVENTS + 1)]


async def stream(arrival: Arrival, connection: Connection) -> None:
    """Send all events, and close the connection."""
    await connection.send(connection.build_head(arrival, 200, STREAM_FIELD, SEAL))
    for data in list_missing(arrival):
        await connection.send(data)
        await asyncio.sleep(0.01)
    connection.close()


async def close_in_event(arrival: Arrival, connection: Connection) -> None:
    """Send two events and a half, and close the connection."""
    await connection.send(connection.build_head(arrival, 200, STREAM_FIELD, SEAL))
    await connection.send(event(1) + event(2) + event(3)[:-1])
    await asyncio.sleep(0.05)
    connection.close()


async def reset_between_events(arrival: Arrival, connection: Connection) -> None:
    """Send two whole events, and reset the connection."""
    await connection.send(connection.build_head(arrival, 200, STREAM_FIELD, SEAL))
    await connection.send(event(1) + event(2))
    await asyncio.sleep(0.05)
    connection.reset()


async def answer(arrival: Arrival, connection: Connection) -> None:
    """Send a whole body, and close the connection."""
    await connection.send(connection.build_head(arrival, 200, SEAL) + BODY)
    connection.close()


async def reset_in_body(arrival: Arrival, connection: Connection) -> None:
    """Send half a body, and reset the connection."""
    await connection.send(connection.build_head(arrival, 200, SEAL) + BODY[:3_000])
    await asyncio.sleep(0.05)
    connection.reset()


def test_stream_that_ends_with_its_connection_is_whole() -> None:
    """Guards against a whole stream that is asked for once more, or broken off."""

    async def test(site: Site) -> None:
        received = await site.call(PLAN_PATH)
        assert (received.status, received.body) == (200, WHOLE)
        assert received.is_whole
        assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(stream, stream))


@pytest.mark.parametrize("breaks", [close_in_event, reset_between_events])
def test_stream_that_is_broken_off_goes_on_at_another_replica(
    breaks: Callable[[Arrival, Connection], object],
) -> None:
    """Guards against half an event, or a lost end, that looks like a whole stream."""

    async def test(site: Site) -> None:
        broken, whole = site.engines
        for n_calls in range(1, MAX_CALLS + 1):
            received = await site.call(PLAN_PATH)
            assert (received.status, received.body) == (200, WHOLE)
            assert received.is_whole
            if broken.calls and n_calls >= MIN_CALLS:
                break
        assert broken.calls, "no call was sent to the replica that breaks off"
        resumed = [call for call in whole.calls if "last-event-id" in call.headers]
        assert len(resumed) == len(broken.calls)
        assert {call.headers["last-event-id"] for call in resumed} == {"2"}

    # With the usual budget the third broken stream of a few calls is not resumed.
    run_site(test, engines=(breaks, stream), bounds=EntryBounds(retry_ratio=1.0))


@pytest.mark.parametrize("breaks", [close_in_event, reset_between_events])
def test_stream_that_no_replica_can_finish_does_not_look_whole(
    breaks: Callable[[Arrival, Connection], object],
) -> None:
    """Guards against an end that callers take for the last event."""

    async def test(site: Site) -> None:
        received = await site.call(PLAN_PATH)
        assert not received.is_whole
        assert received.body == event(1) + event(2)

    run_site(test, engines=(breaks,))


def test_body_that_ends_with_its_connection_is_whole() -> None:
    async def test(site: Site) -> None:
        received = await site.call(LOOK_PATH)
        assert (received.status, received.body) == (200, BODY)

    run_site(test, desks=(answer,))


def test_body_that_is_reset_is_asked_for_again() -> None:
    """Guards against half a body that is forwarded as a whole one."""

    async def test(site: Site) -> None:
        for _ in range(4):
            received = await site.call(LOOK_PATH)
            assert (received.status, received.body) == (200, BODY)

    run_site(test, desks=(reset_in_body, answer))


__all__: tuple[str, ...] = ()
