"""Streams: each event once, in order, over all attempts; never a false end."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.replica import build_head, event
from tests.support.platform.site import PLAN_PATH, run_site

from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

N_EVENTS = 6
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))


async def stream(arrival: Arrival, connection: Connection) -> None:
    """Give the events after the one that the request names, and end."""
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    await connection.begin_stream(arrival)
    for number in range(first, N_EVENTS + 1):
        await connection.send_chunk(event(number))
    await connection.end_stream()


async def break_in_event(arrival: Arrival, connection: Connection) -> None:
    """Give two events and half of the third, and die."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1) + event(2) + event(3)[:7])
    await asyncio.sleep(0.05)
    connection.reset()


async def give_one_and_wait(arrival: Arrival, connection: Connection) -> None:
    """Give one event and then nothing."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await asyncio.sleep(60)


def test_whole_stream_is_passed_on() -> None:
    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body) == (200, WHOLE)
        assert answer.headers["quetzaldeck-response-seal"] == "mark"

    run_site(test, engines=(stream,))


def test_stream_that_breaks_goes_on_at_another_replica() -> None:
    """A coach reads half a sentence twice.

    The replica dies in the middle of an event. Its beginning must not reach the
    caller, for the next replica gives the event again, from its begin.
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


def test_stream_that_cannot_go_on_does_not_look_whole() -> None:
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


def test_events_that_come_again_are_not_passed_on_twice() -> None:
    async def from_the_start(arrival: Arrival, connection: Connection) -> None:
        arrival.headers.pop("last-event-id", None)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert answer.body == WHOLE

    run_site(test, engines=(break_in_event, from_the_start))


def test_silent_replica_is_given_up_for_another() -> None:
    """A coach waits in silence though thirteen replicas are idle.

    The replica takes the request and never answers: it hangs, or the connection was
    forgotten on its way. Nothing but a timeout shows it.
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


def test_stream_that_a_stop_cuts_off_is_not_followed_by_a_refusal() -> None:
    """A caller reads a refusal in the middle of its stream.

    The VM is stopped while a long stream runs. At the end of the grace the stream is
    cut off; the answer that says so was written into the response that had begun.
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

    run_site(test, engines=(give_one_and_wait,), bounds=bounds)


def test_call_whose_caller_left_ends_at_the_replica() -> None:
    """A replica goes on writing for a caller that has gone."""

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: bool(site.engines[0].calls))
        await asyncio.sleep(0.1)
        call.cancel()
        state = site.entry.session.state
        await site.wait(lambda: not len(state.in_flight), timeout_ms=500)
        await site.wait(lambda: not state.dispatch.n_running, timeout_ms=500)

    run_site(test, engines=(give_one_and_wait,))


def test_stream_ends_at_the_bound_of_its_route() -> None:
    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await site.call(PLAN_PATH, deadline_ms=400)
        assert not answer.is_whole
        assert loop.time() - begun < 0.9

    run_site(test, engines=(give_one_and_wait,))


def test_helper_that_is_gone_is_not_named_again() -> None:
    """Long prompts are refused while one of fourteen replicas is dead.

    The replica that is asked names the helper that it could not reach. If that counts
    as a busy replica, the next attempt names the dead helper again, until the budget of
    repeated sends is spent.
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


def test_busy_engine_is_waited_for_as_long_as_its_backlog_takes() -> None:
    """A burst of long prompts is read twice, and everybody waits for twice as long.

    All engines are busy for longer than a first token usually takes. Requests are given
    up there as if the engines were silent, and sent to others that are as busy.
    """

    async def answer_late(arrival: Arrival, connection: Connection) -> None:
        # After the first look at a silence, before half of the caller's patience.
        await asyncio.sleep(0.8)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        engines = site.entry.session.state.dispatch._scheduler.upstreams
        # A VM is ready when its configuration is queued for the scheduler.
        await site.wait(lambda: len(engines) == len(site.engines) + len(site.desks))
        now_ms = site.entry.session.state.clock.now_ms()
        for state in engines:
            state.update_peer_load("other", VmLoad(1, 100_000, 100_000), now_ms)
        answer = await site.call(PLAN_PATH)
        assert answer.body == WHOLE
        assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(answer_late,) * 3)


def test_late_answer_is_passed_on_where_no_other_engine_may_be_asked() -> None:
    """A coach gets an error in place of a plan that was late.

    The only engine is slow. The request was cut off there as if the engine hung,
    though it could be sent nowhere else.
    """

    async def answer_late(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(1.0)
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body) == (200, WHOLE)
        assert len(site.engines[0].calls) == 1

    run_site(test, engines=(answer_late,))
