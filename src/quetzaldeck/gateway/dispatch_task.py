"""The task that owns the scheduler; handlers talk to it by messages."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

from quetzaldeck.decisions import AttemptFault, Rejection
from quetzaldeck.decisions.health import HealthState
from quetzaldeck.decisions.poison import Verdict
from quetzaldeck.gateway.failing_upstreams import FailingUpstreams
from quetzaldeck.gateway.messages import (
    ApplyBundle,
    EndAttempt,
    JudgeSilence,
    NoteFirstToken,
    NoteReserved,
    Observe,
    ObserveCache,
    ObserveCrashes,
    ObserveIncarnations,
    ObserveLoad,
    ObservePaces,
    ObservePeerLoad,
    ObserveUsage,
    Submit,
    Withdraw,
)
from quetzaldeck.gateway.ticket import Ticket

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import Decision, Request, Scheduler
    from quetzaldeck.decisions.limits import UsageUpdate
    from quetzaldeck.decisions.peer_load import VmLoad
    from quetzaldeck.decisions.poison import CrashSighting, PoisonBounds
    from quetzaldeck.gateway.messages import Message
    from quetzaldeck.telemetry import GatewayMetrics

Reply = TypeVar("Reply")

POLL_INTERVAL_MS = 20.0
"""Pause between two looks at what waits, while anything does."""

IDLE_INTERVAL_MS = 500.0
"""Pause while nothing waits. Fifty looks a second at nothing were most of the processor
time of a VM with a request a second."""


class DispatchTask:
    """Feeds messages to the scheduler and hands out its decisions."""

    def __init__(
        self, scheduler: Scheduler, metrics: GatewayMetrics, clock: Clock
    ) -> None:
        self._scheduler = scheduler
        self._clock = clock
        self._metrics = metrics
        self._failing = FailingUpstreams(scheduler)
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self._news: list[Message] = []
        self._outboxes: dict[str, asyncio.Queue[Decision]] = {}
        self._has_crash_news = asyncio.Event()
        self._has_load_news = asyncio.Event()

    @property
    def n_queued(self) -> int:
        """:returns: requests that wait"""
        return self._scheduler.n_queued

    @property
    def n_running(self) -> int:
        """:returns: attempts that run"""
        return self._scheduler.n_running

    @property
    def poison_bounds(self) -> PoisonBounds:
        """:returns: figures of the judgement on requests that crash engines"""
        return self._scheduler.poison.bounds

    async def wait_for_crash_news(self) -> None:
        """Wait until an attempt ended as it does when its engine crashes."""
        await self._has_crash_news.wait()
        self._has_crash_news.clear()

    async def wait_for_load_news(self) -> None:
        """Wait until an attempt began, got its first token, or ended."""
        await self._has_load_news.wait()
        self._has_load_news.clear()

    def take_crash_news(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: by request, what other VMs should know of it and crashes"""
        return self._scheduler.fleet.pop_crash_sightings()

    def list_shares(self) -> list[tuple[str, VmLoad]]:
        """:returns: what of this VM is at each upstream"""
        now_ms = self._clock.now_ms()
        return [
            (state.spec.name, state.own_load(now_ms))
            for state in self._scheduler.upstreams
        ]

    def take_usage_news(self) -> list[UsageUpdate]:
        """:returns: what other VMs should know of limited customers"""
        return self._scheduler.limits.take_updates(self._clock.now_ms())

    def send(self, message: Message) -> None:
        """Put a message into the task's mailbox."""
        self._mailbox.put_nowait(message)

    def send_news(self, message: Message) -> None:
        """Put a message that changes nothing unless a request has to be placed.

        Load pattern: VMs tell each other what they send where, many messages a second
        for each request that a VM serves itself. Waking the task for each of them would
        look for decisions where there are none to make.

        So they lie until the next message or the next look, half a second at most, and
        are handled before it. While requests wait for a place the task is woken: what
        is told may be that there is room.
        """
        if self._scheduler.n_queued:
            self._mailbox.put_nowait(message)
        else:
            self._news.append(message)

    def open_ticket(self, request: Request) -> Ticket:
        """:returns: the caller side of one request; a context manager"""
        return Ticket(request, self.send)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._receive()
            self._carry_out_decisions()
            self._failing.look(self._clock.now_ms())
            self._metrics.queued.set(self._scheduler.n_queued)
            self._metrics.running.set(self._scheduler.n_running)

    async def _receive(self) -> None:
        """Handle what is in the mailbox; wait a little if it is empty.

        The wait is bounded so that expiries and reports that age are seen while
        no message comes.
        """
        wait_ms = POLL_INTERVAL_MS if self._scheduler.n_queued else IDLE_INTERVAL_MS
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                message = await self._mailbox.get()
        except TimeoutError:
            self._handle_news()
            return
        self._handle_news()
        self._handle(message)
        self.handle_waiting()

    def _handle_news(self) -> None:
        news, self._news = self._news, []
        for message in news:
            self._handle(message)

    def handle_waiting(self) -> None:
        """Handle every message that is in the mailbox."""
        while not self._mailbox.empty():
            self._handle(self._mailbox.get_nowait())

    def _handle(self, message: Message) -> None:
        match message:
            case Submit():
                self._submit(message)
            case EndAttempt():
                self._end_attempt(message)
                self._has_load_news.set()
            case NoteFirstToken() | NoteReserved() | JudgeSilence():
                self._note_progress(message)
            case Withdraw():
                self._scheduler.withdraw(message.request_id)
                self._outboxes.pop(message.request_id, None)
                self._has_load_news.set()
            case ApplyBundle():
                self._scheduler.apply_bundle(message.bundle)
            case Observe():
                self._observe(message)
            case ObserveIncarnations():
                self._scheduler.fleet.observe_incarnations(message.incarnations)
            case ObserveLoad() | ObservePeerLoad() | ObservePaces():
                self._take_load(message)
            case ObserveCache() | ObserveCrashes() | ObserveUsage():
                self._take_news(message)

    def _note_progress(
        self, message: NoteFirstToken | NoteReserved | JudgeSilence
    ) -> None:
        """Take how far a running attempt is."""
        match message:
            case NoteFirstToken():
                self._scheduler.note_first_token(message.attempt_id)
                self._has_load_news.set()
            case NoteReserved():
                self._scheduler.note_reserved(message.attempt_id)
            case JudgeSilence():
                verdict = self._scheduler.judge_silence(
                    message.attempt_id, message.silent_ms
                )
                _reply(message.reply, verdict)

    def _take_load(self, message: ObserveLoad | ObservePeerLoad | ObservePaces) -> None:
        """Take what an upstream or another VM tells of load."""
        match message:
            case ObserveLoad():
                self._scheduler.fleet.observe_load(message.report)
            case ObservePeerLoad():
                self._scheduler.fleet.observe_peer(message.vm, message.shares)
            case ObservePaces():
                self._scheduler.fleet.observe_paces(message.paces)

    def _take_news(self, message: ObserveCache | ObserveCrashes | ObserveUsage) -> None:
        """Take what engines and other VMs tell."""
        match message:
            case ObserveCache():
                self._scheduler.fleet.observe_cache(message.events)
            case ObserveCrashes():
                self._scheduler.fleet.observe_crashes(message.sightings)
            case ObserveUsage():
                self._scheduler.limits.observe(
                    message.vm, message.news, self._clock.now_ms()
                )

    def _end_attempt(self, message: EndAttempt) -> None:
        failure = self._scheduler.end_attempt(message.end)
        fault = message.end.fault
        if fault is AttemptFault.BROKEN:
            self._has_crash_news.set()
        if fault is not None and failure is None:
            self._metrics.upstreams.retries.labels(fault.value).inc()
        _reply(message.reply, failure)

    def _observe(self, message: Observe) -> None:
        self._scheduler.fleet.observe(message.loads, message.leaving)
        self._scheduler.limits.n_vms = message.n_vms
        self._metrics.limit_vms.set(message.n_vms)
        self._metrics.upstreams.leaving.set(len(message.leaving))
        self._report_upstreams()

    def _report_upstreams(self) -> None:
        """Set the gauges, at the pace of the exchange with the agent."""
        metrics = self._metrics.upstreams
        n_by_state = self._scheduler.upstreams.count_health(self._clock.now_ms())
        for state in HealthState:
            metrics.states.labels(state.value).set(n_by_state[state])
        budget = self._scheduler.retries.budget
        metrics.retry_budget_tokens.labels("allowed").set(budget.allowed_tokens)
        metrics.retry_budget_tokens.labels("retried").set(budget.retried_tokens)
        metrics.double_releases.set(self._scheduler.placer.n_double_releases)
        n_by_verdict = self._scheduler.poison.count_verdicts(self._clock.now_ms())
        for verdict in Verdict:
            metrics.suspects.labels(verdict.value).set(n_by_verdict[verdict])

    def _carry_out_decisions(self) -> None:
        for decision in self._scheduler.poll():
            self._deliver(decision)
            self._has_load_news.set()

    def _submit(self, message: Submit) -> None:
        """Admit a request, after those before it have been placed where there is room.

        Several requests arrive between two looks at the queue: a burst, or all that
        came while the VM stood still. Counted as a queue before the last of them, they
        would have it refused before idle upstreams.
        """
        if self._scheduler.n_queued:
            self._carry_out_decisions()
        failure = self._scheduler.submit(message.request)
        if failure is None:
            self._outboxes[message.request.request_id] = message.decisions
        _reply(message.reply, failure)

    def _deliver(self, decision: Decision) -> None:
        request_id = decision.request.request_id
        outbox = self._outboxes.get(request_id)
        if outbox is not None:
            outbox.put_nowait(decision)
        if isinstance(decision, Rejection):
            self._outboxes.pop(request_id, None)


def _reply(future: asyncio.Future[Reply], reply: Reply) -> None:
    """Answer a handler, unless its caller is gone and it no longer waits."""
    if not future.done():
        future.set_result(reply)


__all__ = ("DispatchTask",)
