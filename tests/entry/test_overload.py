"""More requests than the engines can serve: which are refused, and when."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import pytest
from tests.support.platform.replica import event
from tests.support.platform.site import BOOK_PATH, PLAN_PATH, run_site

from quetzaldeck.telemetry.repeated_event import INTERVAL_MS

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Answer, Site

N_CALLS = 60
N_SLOTS = 8
RUN_S = 0.4
DEADLINE_MS = 1_500
MAX_BODIES_BYTES = 300_000
EARLY_S = 0.5
"""Requests that are refused on admission have their response within this time, a third
of the deadline."""


async def generate_slowly(arrival: Arrival, connection: Connection) -> None:
    """Respond with one event after a delay."""
    await asyncio.sleep(RUN_S)
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await connection.end_stream()


async def time_call(site: Site) -> tuple[Answer, float]:
    loop = asyncio.get_running_loop()
    began_s = loop.time()
    answer = await site.call(PLAN_PATH, deadline_ms=DEADLINE_MS)
    return answer, loop.time() - began_s


def test_request_that_would_miss_its_deadline_is_refused_at_once() -> None:
    """Guards against requests that wait in vain until their deadline.

    Sixty requests arrive at once for an engine that runs eight at a time. The first
    ones are served. Once the drain rate of the queue is known, requests whose turn
    would come after their deadline are refused on admission, each with its own
    retry-after time.
    """

    async def test(site: Site) -> None:
        first = asyncio.gather(*(time_call(site) for _ in range(N_CALLS)))
        await asyncio.sleep(3 * RUN_S)
        second = await asyncio.gather(*(time_call(site) for _ in range(N_CALLS)))
        served = [answer.status for answer, _ in await first].count(200)
        assert served >= 2 * N_SLOTS, "two rounds of requests fit into the deadline"
        refused = [(a, s) for a, s in second if a.status == 503]
        early = [answer for answer, elapsed_s in refused if elapsed_s < EARLY_S]
        assert len(early) > N_CALLS / 3
        times = {float(answer.headers["retry-after"]) for answer in early}
        assert len(times) > len(early) / 2
        assert min(times) > 0.0
        assert all(s * 1_000 < DEADLINE_MS + 300 for _, s in second)

    run_site(test, engines=(generate_slowly,))


def test_connections_closed_unread_are_logged_together(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A request ends without a line, or each one costs a VM that is short of time."""
    lines: list[int] = []
    monkeypatch.setattr(
        "quetzaldeck.telemetry.repeated_event.log_event",
        lambda event, *, level, n_connections: lines.append(n_connections),
    )

    async def test(site: Site) -> None:
        for _ in range(3):
            site.entry.note_shed()
        assert lines == [1]
        await asyncio.sleep(INTERVAL_MS / 1_000 + 0.01)
        assert lines == [1, 2]
        site.entry.note_shed()
        assert lines == [1, 2]
        await site.entry.stop()
        assert lines == [1, 2, 1]

    run_site(test)


@pytest.mark.parametrize("has_length", [True, False], ids=["length", "chunks"])
def test_callers_of_many_long_bodies_are_all_answered(*, has_length: bool) -> None:
    """Guards against a process that ends as bodies, each allowed, fill its memory."""
    body = b"x" * 90_000

    async def send_parts() -> AsyncIterator[bytes]:
        for begin in range(0, len(body), 10_000):
            yield body[begin : begin + 10_000]
            await asyncio.sleep(0.01)

    async def answer(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(0.05)
        await connection.answer(arrival)

    async def test(site: Site) -> None:
        memory = site.entry.session.state.bodies
        memory.set_max_bytes(MAX_BODIES_BYTES)
        most = 0

        async def call() -> int:
            nonlocal most
            sent: Any = body if has_length else send_parts()
            answer = await site.call(BOOK_PATH, body=sent, deadline_ms=2_000)
            most = max(most, memory.n_held)
            return answer.status

        statuses = await asyncio.gather(*(call() for _ in range(20)))
        assert set(statuses) <= {200, 503}
        assert statuses.count(200) >= 2
        assert 0 < most <= MAX_BODIES_BYTES
        assert memory.n_held == 0

    run_site(test, desks=(answer,))
