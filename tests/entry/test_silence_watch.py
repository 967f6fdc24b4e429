"""Waiting for an upstream that is silent for longer than its bound."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import pytest
import uvloop

from quetzaldeck.clock import Clock
from quetzaldeck.decisions.retries.silence import SilenceVerdict
from quetzaldeck.entry.silence_watch import SilenceWatch

if TYPE_CHECKING:
    from quetzaldeck.gateway.ticket import Ticket

BOUND_MS = 20.0


class SlowJudge:
    """A scheduler that abandons every attempt, after a delay set by the test."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.answers = asyncio.Event()

    async def judge_silence(self, attempt_id: str, silent_ms: float) -> SilenceVerdict:
        """Abandon the attempt once the test sets ``answers``."""
        self.asked.set()
        await self.answers.wait()
        return SilenceVerdict.ABANDON


def make_watch(judge: SlowJudge, bound_ms: float | None = BOUND_MS) -> SilenceWatch:
    return SilenceWatch(cast("Ticket", judge), Clock(), "a1", "call1", bound_ms)


def test_response_that_arrives_during_the_decision_is_used() -> None:
    """Guards against dropping a response that arrives while the scheduler decides.

    The caller would wait for another attempt, while the first upstream would go on
    working on a response that nobody reads.
    """

    async def run() -> None:
        judge = SlowJudge()
        has_response = asyncio.Event()

        async def send() -> str:
            await has_response.wait()
            return "answer"

        waiting = asyncio.create_task(make_watch(judge).wait(send))
        await judge.asked.wait()
        has_response.set()
        await asyncio.sleep(0)
        judge.answers.set()
        assert await waiting == "answer"

    uvloop.run(run())


def test_abandoned_attempt_is_cancelled() -> None:
    async def run() -> None:
        judge = SlowJudge()
        judge.answers.set()
        is_cancelled = False

        async def hang() -> None:
            nonlocal is_cancelled
            try:
                await asyncio.sleep(60)
            except asyncio.CancelledError:
                is_cancelled = True
                raise

        with pytest.raises(TimeoutError):
            await make_watch(judge).wait(hang)
        assert is_cancelled

    uvloop.run(run())


def test_wait_without_a_bound_does_not_consult_the_scheduler() -> None:
    async def run() -> None:
        judge = SlowJudge()

        async def answer_late() -> str:
            await asyncio.sleep(3 * BOUND_MS / 1_000)
            return "answer"

        assert await make_watch(judge, None).wait(answer_late) == "answer"
        assert not judge.asked.is_set()

    uvloop.run(run())
