"""Streams: each event once and in order over all attempts, never a false end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.replica import build_head, event
from tests.support.platform.site import PLAN_PATH, run_site

from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

N_EVENTS = 6
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))


async def stream(arrival: Arrival, connection: Connection) -> None:
    """Send the events after the one that the request names, and end the stream."""
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    await connection.begin_stream(arrival)
    for number in range(first, N_EVENTS + 1):
        await connection.send_chunk(event(number))
    await connection.end_stream()


async def break_in_event(arrival: Arrival, connection: Connection) -> None:
    """Send two events and half of the third, then reset the connection."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1) + event(2) + event(3)[:7])
    await asyncio.sleep(0.05)
    connection.reset()


async def send_one_and_hang(arrival: Arrival, connection: Connection) -> None:
    """Send one event and then nothing."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await asyncio.sleep(60)


def test_whole_stream_is_forwarded() -> None:
    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body) == (200, WHOLE)
        assert answer.headers["quetzaldeck-response-seal"] == "mark"

    run_site(test, engines=(stream,))


def test_broken_stream_is_resumed_on_another_replica() -> None:
    """Guards against a caller that receives the first half of an event twice.

    A replica crashes in the middle of an event. The incomplete event must not be
    forwarded, as the next replica sends it again from its beginning.
    """

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body) == (200, WHOLE)
        assert answer.is_whole
        resumed = [a for engine in site.engines for a in engine.calls][1:]
        expected = [a.headers.get("last-event-id") for a in resumed]
        assert expected in ([], ["2"])

    for _ in range(3):
        run_site(test, engines=(break_in_event, stream))


def test_stream_that_cannot_be_resumed_does_not_look_whole() -> None:
    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert not answer.is_whole
        assert answer.body == event(1) + event(2)

    run_site(test, engines=(break_in_event,) * 2)


def test_stream_that_ends_inside_an_event_does_not_look_whole() -> None:
    async def end_early(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1) + event(2)[:9])
        await connection.end_stream()

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert not answer.is_whole
        assert answer.body == event(1)

    run_site(test, engines=(end_early,) * 2)


def test_repeated_events_are_not_forwarded_twice() -> None:
    async def from_the_start(arrival: Arrival, connection: Connection) -> None:
        arrival.headers.pop("last-event-id", None)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert answer.body == WHOLE

    run_site(test, engines=(break_in_event, from_the_start))


def test_silent_replica_is_abandoned_for_another() -> None:
    """Guards against waiting for a silent replica although others are idle.

    The replica accepts the request and never responds, because it hangs or a device on
    the path dropped the connection. Only a timeout detects this.
    """

    async def hang(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(60)

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await site.call(PLAN_PATH)
        assert answer.body == WHOLE
        assert loop.time() - begun < 1.5

    run_site(test, engines=(hang, stream))


def test_stream_aborted_at_shutdown_is_not_followed_by_an_error_body() -> None:
    """Guards against an error body written into a stream that has started.

    The VM is stopped while a long stream runs, and aborts the stream at the end of the
    grace period. The caller must see an incomplete stream, not an error within it.
    """
    bounds = EntryBounds(grace_s=1.2)

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: bool(site.engines[0].calls))
        await asyncio.sleep(0.1)
        assert await site.entry.drain() == 1
        answer = await call
        assert not answer.is_whole
        assert answer.body == event(1)

    run_site(test, engines=(send_one_and_hang,), bounds=bounds)


def test_call_ends_at_the_replica_when_its_caller_disconnects() -> None:
    """Guards against a replica that generates for a caller that has disconnected."""

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: bool(site.engines[0].calls))
        await asyncio.sleep(0.1)
        call.cancel()
        state = site.entry.session.state
        await site.wait(lambda: not len(state.in_flight), timeout_ms=500)
        await site.wait(lambda: not state.dispatch.n_running, timeout_ms=500)

    run_site(test, engines=(send_one_and_hang,))


def test_stream_ends_at_its_deadline() -> None:
    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await site.call(PLAN_PATH, deadline_ms=400)
        assert not answer.is_whole
        assert loop.time() - begun < 0.9

    run_site(test, engines=(send_one_and_hang,))


def test_unreachable_helper_is_not_chosen_again() -> None:
    """Guards against refusing long prompts while one of fourteen replicas is dead.

    The replica names the helper that it could not reach. If this counted as a busy
    replica, further attempts would use the dead helper until the retry budget is spent.
    """

    async def behave(arrival: Arrival, connection: Connection) -> None:
        helpers = arrival.headers.get("quetzaldeck-helpers", "").split(",")
        if dead in helpers:
            fields = ("Content-Length: 0", "Quetzaldeck-Not-Executed: 1")
            head = build_head(arrival, 503, *fields, f"At-Server: {dead}")
            await connection.send(head)
        else:
            await stream(arrival, connection)

    dead = ""

    async def test(site: Site) -> None:
        nonlocal dead
        dead = site.engines[0].address
        answers = [await site.call(PLAN_PATH, prompt=(45_000, 100)) for _ in range(3)]
        assert [answer.body for answer in answers] == [WHOLE] * 3
        assert sum(len(engine.calls) for engine in site.engines) <= 4

    run_site(test, engines=(behave,) * 4)


def test_busy_engine_is_not_abandoned_while_its_backlog_explains_the_silence() -> None:
    """Guards against prefilling a burst of prompts twice, which doubles all waits.

    All engines are busy for longer than a first token usually takes. Attempts
    would be abandoned as if the engines hung, and retried on others that are as busy.
    """

    async def respond_late(arrival: Arrival, connection: Connection) -> None:
        # After the first silence check, before half of the caller's idle timeout.
        await asyncio.sleep(0.8)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        engines = site.entry.session.state.dispatch._scheduler.upstreams
        # A VM counts as ready once the configuration is queued for the scheduler.
        await site.wait(lambda: len(engines) == len(site.engines) + len(site.desks))
        now_ms = site.entry.session.state.clock.now_ms()
        for state in engines:
            state.update_peer_load("other", VmLoad(1, 100_000, 100_000), now_ms)
        answer = await site.call(PLAN_PATH)
        assert answer.body == WHOLE
        assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(respond_late,) * 3)


def test_late_response_is_forwarded_if_no_other_engine_is_available() -> None:
    """Guards against a caller that gets an error in place of a late response.

    The only engine is slow. The attempt would be abandoned as if the engine hung,
    although the request cannot be sent anywhere else.
    """

    async def respond_late(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(1.0)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body) == (200, WHOLE)
        assert len(site.engines[0].calls) == 1

    run_site(test, engines=(respond_late,))
