"""Waiting for an upstream that is silent for longer than its bound."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import pytest
import uvloop

from quetzaldeck.clock import Clock
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.silence_watch import SilenceWatch

if TYPE_CHECKING:
    from quetzaldeck.gateway.ticket import Ticket

BOUND_MS = 20.0


class SlowScheduler:
    """A scheduler that replaces every attempt, after a delay set by the test."""

    def __init__(self) -> None:
        self.verdicts: list[SilenceVerdict] = []
        self.consulted = asyncio.Event()
        self.may_answer = asyncio.Event()

    async def judge_silence(self, attempt_id: str, silent_ms: float) -> SilenceVerdict:
        """Replace the attempt once the test sets ``may_answer``."""
        self.consulted.set()
        await self.may_answer.wait()
        return SilenceVerdict.REPLACE


def make_watch(
    scheduler: SlowScheduler, bound_ms: float | None = BOUND_MS
) -> SilenceWatch:
    ticket = cast("Ticket", scheduler)
    note = scheduler.verdicts.append
    return SilenceWatch(ticket, Clock(), "a1", "call1", bound_ms, note)


def test_response_that_arrives_during_the_decision_is_used() -> None:
    """Guards against dropping a response that arrives while the scheduler decides.

    The caller would wait for another attempt, while the first upstream would go on
    working on a response that nobody reads.
    """

    async def run() -> None:
        scheduler = SlowScheduler()
        has_response = asyncio.Event()

        async def send() -> str:
            await has_response.wait()
            return "answer"

        waiting = asyncio.create_task(make_watch(scheduler).wait(send))
        await scheduler.consulted.wait()
        has_response.set()
        await asyncio.sleep(0)
        scheduler.may_answer.set()
        assert await waiting == "answer"

    uvloop.run(run())


def test_replaced_attempt_goes_on_until_its_watch_is_cancelled() -> None:
    """An attempt is ended before another one has anything for the caller."""

    async def run() -> None:
        scheduler = SlowScheduler()
        scheduler.may_answer.set()
        is_cancelled = False

        async def hang() -> None:
            nonlocal is_cancelled
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                is_cancelled = True
                raise

        waiting = asyncio.create_task(make_watch(scheduler).wait(hang))
        await asyncio.sleep(3 * BOUND_MS / 1_000)
        assert scheduler.verdicts == [SilenceVerdict.REPLACE]
        assert not is_cancelled
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        assert is_cancelled

    uvloop.run(run())


def test_wait_without_a_bound_does_not_consult_the_scheduler() -> None:
    async def run() -> None:
        scheduler = SlowScheduler()

        async def answer_late() -> str:
            await asyncio.sleep(3 * BOUND_MS / 1_000)
            return "answer"

        assert await make_watch(scheduler, None).wait(answer_late) == "answer"
        assert not scheduler.consulted.is_set()

    uvloop.run(run())
