"""Replacements that the scheduler refuses while a silent attempt runs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, cast

import pytest
from tests.support.virtual_time import run_virtual

from quetzaldeck.decisions import Dispatch, Request
from quetzaldeck.gateway.attempt_tasks import AttemptTask, AttemptTasks
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.telemetry import GatewayMetrics

if TYPE_CHECKING:
    from quetzaldeck.gateway.ticket import Ticket

N_REFUSED = 3
REQUEST = Request("r", "c", "m", 1_000, 10, 5, 0.0, 10_000.0)


class RefusingTicket:
    """Rejects the first replacement, and refuses some that are asked for later."""

    def __init__(self) -> None:
        self.n_dispatched = 0
        self.n_asked = 0

    async def next_dispatch(self) -> Dispatch:
        """:returns: the first dispatch, and those after the first replacement"""
        self.n_dispatched += 1
        if self.n_dispatched == 2:
            raise RequestError(Failure(Reason.UPSTREAM_RATE_LIMITED))
        return Dispatch(REQUEST, ("e",), f"r.{self.n_dispatched}", self.n_dispatched)

    async def retry_kept(self) -> None:
        """Allow a replacement in the end."""
        self.n_asked += 1
        if self.n_asked <= N_REFUSED:
            raise RequestError(Failure(Reason.UPSTREAM_RATE_LIMITED))

    def drop_dispatch(self, dispatching: asyncio.Task[Dispatch]) -> None:
        """Stop waiting."""
        dispatching.cancel()


class OneRetryTicket(RefusingTicket):
    """Allows one more replacement, as the request is not kept after that."""

    async def retry_kept(self) -> None:
        """Allow the first replacement that is asked for."""
        self.n_asked += 1
        if self.n_asked > 1:
            raise RequestError(Failure(Reason.UPSTREAM_FAILED))


class Run:
    """A request whose attempts are tasks that the test ends."""

    def __init__(self, ticket: RefusingTicket | None = None) -> None:
        self.ticket = ticket or RefusingTicket()
        self.ended: asyncio.Queue[asyncio.Task[object]] = asyncio.Queue()
        self.tasks: AttemptTasks[None] = AttemptTasks(
            cast("Ticket", self.ticket),
            GatewayMetrics(),
            check=lambda: None,
            start=self._start,
            on_end=self.ended.put_nowait,
        )

    def _start(self, dispatch: Dispatch) -> None:
        attempt: AttemptTask[None] = AttemptTask(dispatch)
        self.tasks.run(attempt, asyncio.sleep(3_600.0))

    async def refuse_replacement(self) -> AttemptTask[None]:
        """:returns: the silent attempt, whose replacement has been rejected"""
        self.tasks.take_ended(await self.ended.get())
        (first,) = self.tasks.living
        self.tasks.replace(first)
        self.tasks.take_ended(await self.ended.get())
        self.tasks.raise_if_none_left()
        return first


def test_silent_attempt_is_replaced_once_the_scheduler_allows_it() -> None:
    """An engine hangs, and its request gets no other one after a refusal."""

    async def test() -> None:
        run = Run()
        async with run.tasks:
            await run.refuse_replacement()
            async with asyncio.timeout(1.0):
                while len(run.tasks.living) < 2:
                    run.tasks.take_ended(await run.ended.get())
            assert run.ticket.n_asked == N_REFUSED + 1

    run_virtual(test())


def test_request_whose_last_attempt_fails_asks_for_another_one_at_once() -> None:
    """A silent attempt breaks, and the refusal of its replacement is reported."""

    async def test() -> None:
        run = Run()
        async with run.tasks:
            first = await run.refuse_replacement()
            run.ticket.n_asked = N_REFUSED
            run.tasks.give_up(first)
            await run.tasks.retry_if_last()
            run.tasks.raise_if_none_left()
            run.tasks.take_ended(await run.ended.get())
            while not run.tasks.living:
                run.tasks.take_ended(await run.ended.get())

    run_virtual(test())


def test_request_fails_if_its_last_attempt_does_and_no_other_is_allowed() -> None:
    """A caller waits for its deadline though nothing can answer it."""

    async def test() -> None:
        run = Run()
        async with run.tasks:
            first = await run.refuse_replacement()
            run.tasks.give_up(first)
            await run.tasks.retry_if_last()
            with pytest.raises(RequestError, match="rate_limited"):
                run.tasks.raise_if_none_left()

    run_virtual(test())


def test_attempt_that_breaks_as_its_replacement_is_queued_is_followed_by_it() -> None:
    """A caller gets the failure of an attempt although its next one is queued."""

    async def test() -> None:
        run = Run(OneRetryTicket())
        async with run.tasks:
            first = await run.refuse_replacement()
            while not run.ticket.n_asked:
                await asyncio.sleep(0.01)
            run.tasks.give_up(first)
            await run.tasks.retry_if_last()
            run.tasks.raise_if_none_left()

    run_virtual(test())
