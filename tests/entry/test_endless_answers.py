"""Upstreams that send bytes without end, in place of a response or within one."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.pouring import (
    BODY_FLOODS,
    EVENT_FLOODS,
    HEAD_FLOODS,
    STREAM_FLOODS,
    Pourer,
)
from tests.support.platform.replica import event
from tests.support.platform.site import BOOK_PATH, LOOK_PATH, PLAN_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.support.platform.pouring import Flood
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Answer, Site

N_EVENTS = 5
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))
MAX_CALLS = 40
"""Calls until each replica is chosen first for one of them. Placement is random."""

MAX_ANSWER_S = 2.0
MIN_SERVED = 0.98
MAX_LATER_S = 0.3
"""How much later a neighbour may be answered than before the flood."""

KIB = 1024
SLACK_BYTES = 192 * KIB
"""What is under way when a connection is closed: three blocks."""

MAX_HEAD_BYTES = 64 * KIB + SLACK_BYTES
MAX_BODY_BYTES = 1024 * KIB + SLACK_BYTES
MAX_COMMENT_BYTES = 64 * KIB
"""Comments between two events are part of a stream, and are forwarded."""

NO_BUDGET = EntryBounds(retry_ratio=1.0)
"""With the usual budget a few calls are not all retried."""

BODY_FLOODS_THAT_STALL = ("chunk_extension", "trailers")
"""Floods that bring no byte of a body."""

SLOW_BODIES = sorted(set(BODY_FLOODS) - {*BODY_FLOODS_THAT_STALL, "refusal_body"})
"""Bodies that grow by a few bytes at a time: slow ones, not known to be endless."""


async def answer_look(arrival: Arrival, connection: Connection) -> None:
    """Answer a look-up or a booking."""
    await connection.answer(arrival, body=b"sound")


async def answer_plan(arrival: Arrival, connection: Connection) -> None:
    """Send all events after the one that the request names."""
    await connection.begin_stream(arrival)
    first = int(arrival.headers.get("last-event-id", "0")) + 1
    for number in range(first, N_EVENTS + 1):
        await connection.send_chunk(event(number))
        await asyncio.sleep(0.01)
    await connection.end_stream()


async def call_timed(site: Site, path: str) -> tuple[Answer, float]:
    """:returns: the response to one call, and the time until its end"""
    loop = asyncio.get_running_loop()
    begun_s = loop.time()
    received = await site.call(path)
    return received, loop.time() - begun_s


async def check_calls(site: Site, path: str, pourer: Pourer) -> None:
    """Call until a call was sent to the flooding replica; each has to be answered."""
    body = WHOLE if path == PLAN_PATH else b"sound"
    for _ in range(MAX_CALLS):
        received, spent_s = await call_timed(site, path)
        answer = received.body.replace(b":\n\n", b"")
        assert (received.status, answer) == (200, body)
        assert len(received.body) - len(body) <= MAX_COMMENT_BYTES
        assert received.is_whole
        assert spent_s < MAX_ANSWER_S
        if pourer.n_calls:
            break
    assert pourer.n_calls, "no call was sent to the flooding replica"
    await site.wait(lambda: pourer.n_closed == pourer.n_calls)


def run_repeatable(
    path: str, build: Callable[[Arrival], Flood], *, is_fast: bool, max_bytes: int
) -> None:
    """Check calls that may be retried, beside one flooding replica of two."""
    pourer = Pourer(build, is_fast=is_fast)

    async def test(site: Site) -> None:
        await check_calls(site, path, pourer)
        assert pourer.max_sent_bytes <= max_bytes
        if is_fast:
            faults = site.entry.session.state.metrics.attempt_faults
            assert faults.labels("bad_answer")._value.get() == pourer.n_calls

    desks = (pourer.pour, answer_look)
    engines = (pourer.pour, answer_plan)
    run_site(test, desks=desks, engines=engines, bounds=NO_BUDGET)


@pytest.mark.parametrize("is_fast", [True, False], ids=["fast", "slow"])
@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH], ids=["look", "plan"])
@pytest.mark.parametrize("kind", sorted(HEAD_FLOODS))
def test_call_is_answered_though_a_head_does_not_end(
    kind: str, path: str, *, is_fast: bool
) -> None:
    """Guards against calls that wait for a head until their deadline."""
    run_repeatable(path, HEAD_FLOODS[kind], is_fast=is_fast, max_bytes=MAX_HEAD_BYTES)


@pytest.mark.parametrize("kind", sorted(set(BODY_FLOODS) - {"refusal_body"}))
@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH], ids=["look", "plan"])
def test_call_is_answered_though_a_body_does_not_end(kind: str, path: str) -> None:
    """Guards against a body that is collected until the caller's deadline."""
    stalls = kind in BODY_FLOODS_THAT_STALL
    max_bytes = MAX_HEAD_BYTES if stalls else MAX_BODY_BYTES
    run_repeatable(path, BODY_FLOODS[kind], is_fast=True, max_bytes=max_bytes)


@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH], ids=["look", "plan"])
@pytest.mark.parametrize("kind", BODY_FLOODS_THAT_STALL)
def test_call_is_answered_though_a_body_stalls(kind: str, path: str) -> None:
    """Guards against bytes beside a body that count as a body that goes on."""
    build = BODY_FLOODS[kind]
    run_repeatable(path, build, is_fast=False, max_bytes=MAX_HEAD_BYTES)


@pytest.mark.parametrize("kind", sorted(STREAM_FLOODS))
def test_stream_is_answered_though_events_do_not_end(kind: str) -> None:
    """Guards against bytes that bring no event, and fill the VM until the deadline."""
    is_event = kind.startswith("endless_event")
    max_bytes = MAX_BODY_BYTES if is_event else MAX_HEAD_BYTES
    run_repeatable(PLAN_PATH, STREAM_FLOODS[kind], is_fast=True, max_bytes=max_bytes)


@pytest.mark.parametrize("kind", sorted(STREAM_FLOODS))
def test_stream_is_answered_though_events_stall(kind: str) -> None:
    """Guards against bytes that bring no event, but count as a stream that goes on."""
    build = STREAM_FLOODS[kind]
    run_repeatable(PLAN_PATH, build, is_fast=False, max_bytes=MAX_HEAD_BYTES)


@pytest.mark.parametrize("is_fast", [True, False], ids=["fast", "slow"])
def test_refusal_is_retried_though_its_body_does_not_end(*, is_fast: bool) -> None:
    """Guards against a refused call that waits for a body nobody needs."""
    pourer = Pourer(BODY_FLOODS["refusal_body"], is_fast=is_fast)

    async def test(site: Site) -> None:
        await check_calls(site, LOOK_PATH, pourer)
        assert pourer.max_sent_bytes <= MAX_HEAD_BYTES

    run_site(test, desks=(pourer.pour, answer_look), bounds=NO_BUDGET)


@pytest.mark.parametrize("kind", sorted(set(HEAD_FLOODS | BODY_FLOODS)))
def test_booking_fails_in_time_and_is_sent_once(kind: str) -> None:
    """Guards against a booking that is run twice, or waits until its deadline."""
    build = (HEAD_FLOODS | BODY_FLOODS)[kind]
    pourer = Pourer(build)

    async def test(site: Site) -> None:
        received, spent_s = await call_timed(site, BOOK_PATH)
        if kind == "refusal_body":
            assert received.status == 503
        else:
            assert received.status == 502
            assert pourer.n_calls == 1
        assert spent_s < MAX_ANSWER_S
        await site.wait(lambda: pourer.n_closed == pourer.n_calls)

    run_site(test, desks=(pourer.pour,), bounds=NO_BUDGET)


@pytest.mark.parametrize(
    ("path", "kind"),
    [
        (LOOK_PATH, "interim_responses"),
        (LOOK_PATH, "body_in_chunks"),
        (PLAN_PATH, "comments"),
        (PLAN_PATH, "endless_event"),
        (PLAN_PATH, "repeated_events"),
    ],
)
def test_log_names_the_bound_and_what_was_seen(
    path: str, kind: str, capsys: pytest.CaptureFixture[str]
) -> None:
    """Guards against a closed connection whose cause operators cannot see."""
    pourer = Pourer((HEAD_FLOODS | BODY_FLOODS | STREAM_FLOODS)[kind])

    async def test(site: Site) -> None:
        await check_calls(site, path, pourer)

    desks = (pourer.pour, answer_look)
    run_site(test, desks=desks, engines=(pourer.pour, answer_plan), bounds=NO_BUDGET)
    lines = [
        line
        for line in capsys.readouterr().err.splitlines()
        if "answer_over_bound" in line
    ]
    assert len(lines) == pourer.n_calls
    assert all("bound=" in line and "seen=" in line for line in lines)


async def measure(site: Site, path: str, duration_s: float) -> list[float]:
    """Send 20 calls a second.

    :returns: the time until the end of each call, infinite if it is not answered
    """

    async def call() -> float:
        received, spent_s = await call_timed(site, path)
        return spent_s if received.status == 200 and received.is_whole else math.inf

    loop = asyncio.get_running_loop()
    tasks = []
    end_s = loop.time() + duration_s
    while loop.time() < end_s:
        tasks.append(asyncio.create_task(call()))
        await asyncio.sleep(0.05)
    return sorted(await asyncio.gather(*tasks))


@pytest.mark.parametrize(
    ("path", "kind"),
    [
        (LOOK_PATH, "interim_responses"),
        (LOOK_PATH, "body_in_chunks"),
        (LOOK_PATH, "body_of_tiny_chunks"),
        (PLAN_PATH, "comments"),
        (PLAN_PATH, "comments_after_event"),
        (PLAN_PATH, "repeated_events"),
        (PLAN_PATH, "new_events"),
        (PLAN_PATH, "new_events_in_chunks"),
    ],
)
def test_neighbours_are_served_beside_a_flood(path: str, kind: str) -> None:
    """Guards against a VM whose event loop is full of what one replica sends.

    Half of the replicas of one service flood; calls go to the other service.
    """
    pourer = Pourer((HEAD_FLOODS | BODY_FLOODS | STREAM_FLOODS | EVENT_FLOODS)[kind])
    neighbour = PLAN_PATH if path == LOOK_PATH else LOOK_PATH

    async def test(site: Site) -> None:
        before = await measure(site, neighbour, 1.0)
        during, _ = await asyncio.gather(
            measure(site, neighbour, 2.0), measure(site, path, 2.0)
        )
        assert pourer.n_calls
        n_served = sum(math.isfinite(spent_s) for spent_s in during)
        assert n_served >= MIN_SERVED * len(during)
        p95_before, p95 = (times[int(len(times) * 0.95)] for times in (before, during))
        assert p95 <= p95_before + MAX_LATER_S

    desks = [pourer.pour] * 2 if path == LOOK_PATH else []
    engines = [pourer.pour] * 2 if path == PLAN_PATH else []
    desks += [answer_look] * 2
    engines += [answer_plan] * 2
    run_site(test, is_virtual=False, desks=tuple(desks), engines=tuple(engines))


__all__: tuple[str, ...] = ()
