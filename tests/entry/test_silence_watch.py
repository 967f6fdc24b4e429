"""Waits for an upstream that is silent for longer than usual."""

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
    """A scheduler that leaves every attempt, and is asked for a while."""

    def __init__(self) -> None:
        self.asked = asyncio.Event()
        self.answers = asyncio.Event()

    async def judge_silence(self, attempt_id: str, silent_ms: float) -> SilenceVerdict:
        """Answer when the test says so."""
        self.asked.set()
        await self.answers.wait()
        return SilenceVerdict.ABANDON


def make_watch(judge: SlowJudge, bound_ms: float | None = BOUND_MS) -> SilenceWatch:
    return SilenceWatch(cast("Ticket", judge), Clock(), "a1", "call1", bound_ms)


def test_answer_that_comes_while_the_scheduler_is_asked_is_taken() -> None:
    """A plan comes in the moment in which its attempt is given up.

    Were it dropped, its caller would wait for a second one, and the first upstream
    would go on writing for nobody.
    """

    async def run() -> None:
        judge = SlowJudge()
        answer = asyncio.Event()

        async def send() -> str:
            await answer.wait()
            return "answer"

        waiting = asyncio.create_task(make_watch(judge).wait(send))
        await judge.asked.wait()
        answer.set()
        await asyncio.sleep(0)
        judge.answers.set()
        assert await waiting == "answer"

    uvloop.run(run())


def test_attempt_that_is_left_is_cancelled() -> None:
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


def test_wait_without_a_bound_asks_nobody() -> None:
    async def run() -> None:
        judge = SlowJudge()

        async def answer_late() -> str:
            await asyncio.sleep(3 * BOUND_MS / 1_000)
            return "answer"

        assert await make_watch(judge, None).wait(answer_late) == "answer"
        assert not judge.asked.is_set()

    uvloop.run(run())
