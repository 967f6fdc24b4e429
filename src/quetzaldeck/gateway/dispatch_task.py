"""The task that owns the scheduler; handlers send it messages."""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING, TypeVar

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.health import HealthState
from quetzaldeck.decisions.poison import Verdict
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.gateway.crash_log import CrashLog
from quetzaldeck.gateway.degraded_upstreams import DegradedUpstreamsLog
from quetzaldeck.gateway.messages import (
    ApplyBundle,
    DropAttempt,
    EndAttempt,
    Explain,
    JudgeSilence,
    NoteFirstToken,
    NoteHandedOver,
    NoteLived,
    NoteReserved,
    NoteSent,
    Observe,
    ObserveCache,
    ObserveCheck,
    ObserveCrashes,
    ObserveEvacuations,
    ObserveIncarnations,
    ObserveLoad,
    ObservePaces,
    ObservePath,
    ObservePeerLoad,
    ObserveRateLimit,
    ObserveRuns,
    ObserveShares,
    ObserveStatement,
    ObserveUsage,
    ResumeAttempt,
    RetryKept,
    Submit,
    Withdraw,
)
from quetzaldeck.gateway.passed_over_log import PassedOverLog
from quetzaldeck.gateway.scheduler_reader import SchedulerReader
from quetzaldeck.gateway.ticket import Ticket

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import Decision, Request, Scheduler
    from quetzaldeck.decisions.explanations import Explanation
    from quetzaldeck.decisions.poison import (
        CrashSighting,
        RunSighting,
    )
    from quetzaldeck.gateway.messages import Message
    from quetzaldeck.telemetry import GatewayMetrics

Reply = TypeVar("Reply")

POLL_INTERVAL_MS = 20.0
"""Interval between polls of the scheduler while requests are queued."""

IDLE_INTERVAL_MS = 500.0
"""Interval between polls while no request is queued. Fifty polls a second of an empty
queue used most of the CPU time of a VM with one request a second."""


class DispatchTask(SchedulerReader):
    """Passes messages to the scheduler and delivers its decisions."""

    def __init__(
        self, scheduler: Scheduler, metrics: GatewayMetrics, clock: Clock
    ) -> None:
        super().__init__(scheduler, clock)
        self._metrics = metrics
        self._degraded_log = DegradedUpstreamsLog(scheduler)
        self._crash_log = CrashLog(scheduler.poison, clock, metrics.upstreams)
        self._passed_over_log = PassedOverLog(scheduler, metrics)
        self._mailbox: asyncio.Queue[Message] = asyncio.Queue()
        self._deferred: list[Message] = []
        self._outboxes: dict[str, asyncio.Queue[Decision]] = {}
        self._crash_seen = asyncio.Event()
        self._load_changed = asyncio.Event()

    async def wait_for_crash(self) -> None:
        """Wait until an attempt ends with a broken connection, as after a crash."""
        await self._crash_seen.wait()
        self._crash_seen.clear()

    async def wait_for_load_change(self) -> None:
        """Wait until an attempt starts, receives its first token, or ends."""
        await self._load_changed.wait()
        self._load_changed.clear()

    def observe_crashes(self, sightings: tuple[CrashSighting, ...]) -> None:
        """Apply what another VM knows of crashes, before the next request is placed."""
        self.send_deferrable(ObserveCrashes(sightings))

    def observe_runs(self, sightings: tuple[RunSighting, ...]) -> None:
        """Apply what another VM knows of runs, before the next request is placed."""
        self.send_deferrable(ObserveRuns(sightings))

    def find_peer_answered_ms(self, upstream: str) -> float:
        """:returns: when another VM last reported an answer of an upstream"""
        self._handle_deferred()
        state = self._scheduler.upstreams.get(upstream)
        return -math.inf if state is None else state.peers.outcomes.answered_ms

    def send(self, message: Message) -> None:
        """Add a message to the task's mailbox."""
        self._mailbox.put_nowait(message)

    def send_deferrable(self, message: Message) -> None:
        """Add a message that has no effect unless a request has to be placed.

        VMs send each other their loads: a VM receives many of these messages a second
        for each request that it serves itself. Waking the task for each message would
        poll the scheduler when there is nothing to decide.

        So the messages are deferred, for half a second at most: they are handled before
        the next other message or the next poll. While requests are queued, the task is
        woken at once, since the message may report free capacity.
        """
        if self._scheduler.n_queued:
            self._mailbox.put_nowait(message)
        else:
            self._deferred.append(message)

    async def explain(self, request: Request) -> Explanation:
        """:returns: what would become of a request that arrived now"""
        reply: asyncio.Future[Explanation] = asyncio.get_running_loop().create_future()
        self.send(Explain(request, reply))
        return await reply

    def open_ticket(self, request: Request) -> Ticket:
        """:returns: a context manager that admits and later withdraws a request"""
        return Ticket(request, self.send)

    async def run(self) -> None:
        """Handle messages until cancelled."""
        while True:
            await self._handle_mailbox()
            self._deliver_decisions()
            now_ms = self._clock.now_ms()
            self._degraded_log.check(now_ms)
            self._crash_log.check(now_ms)
            self._passed_over_log.check(now_ms)
            self._metrics.queued.set(self._scheduler.n_queued)
            self._metrics.running.set(self._scheduler.n_running)

    async def _handle_mailbox(self) -> None:
        """Handle all messages in the mailbox; wait for one if it is empty.

        The wait is bounded so that expired requests and outdated reports are noticed
        while no message arrives.
        """
        wait_ms = POLL_INTERVAL_MS if self._scheduler.n_queued else IDLE_INTERVAL_MS
        try:
            async with asyncio.timeout(wait_ms / 1_000):
                message = await self._mailbox.get()
        except TimeoutError:
            self._handle_deferred()
            return
        self._handle_deferred()
        self._handle(message)
        self.handle_pending()

    def _handle_deferred(self) -> None:
        deferred, self._deferred = self._deferred, []
        for message in deferred:
            self._handle(message)

    def handle_pending(self) -> None:
        """Handle every message that is in the mailbox."""
        while not self._mailbox.empty():
            self._handle(self._mailbox.get_nowait())

    def _handle(self, message: Message) -> None:
        match message:
            case Submit() | Explain():
                self._handle_arrival(message)
            case EndAttempt():
                self._end_attempt(message)
                self._load_changed.set()
            case (
                NoteFirstToken()
                | NoteLived()
                | NoteReserved()
                | NoteSent()
                | JudgeSilence()
                | ResumeAttempt()
                | NoteHandedOver()
                | DropAttempt()
            ):
                self._note_progress(message)
            case RetryKept():
                _reply(message.reply, self._scheduler.retry_kept(message.request_id))
            case Withdraw():
                self._scheduler.withdraw(message.request_id)
                self._outboxes.pop(message.request_id, None)
                self._load_changed.set()
            case ApplyBundle():
                self._scheduler.apply_bundle(message.bundle)
            case Observe():
                self._observe(message)
            case (
                ObserveLoad()
                | ObservePeerLoad()
                | ObservePaces()
                | ObserveRateLimit()
                | ObserveStatement()
            ):
                self._observe_load(message)
            case (
                ObserveCache()
                | ObserveCheck()
                | ObserveCrashes()
                | ObserveEvacuations()
                | ObserveIncarnations()
                | ObservePath()
                | ObserveRuns()
                | ObserveShares()
                | ObserveUsage()
            ):
                self._observe_update(message)

    def _handle_arrival(self, message: Submit | Explain) -> None:
        """Handle a request, or a question about one that does not exist."""
        if isinstance(message, Submit):
            self._submit(message)
            return
        if message.reply.done():
            return
        # An error must not end the task, which serves the requests of callers.
        try:
            message.reply.set_result(self._scheduler.explain(message.request))
        except Exception as error:
            message.reply.set_exception(error)

    def _note_progress(
        self,
        message: (
            NoteFirstToken
            | NoteLived
            | NoteReserved
            | NoteSent
            | JudgeSilence
            | ResumeAttempt
            | NoteHandedOver
            | DropAttempt
        ),
    ) -> None:
        """Handle the progress of a running attempt."""
        match message:
            case NoteFirstToken():
                self._scheduler.note_first_token(message.attempt_id)
                self._load_changed.set()
            case NoteLived():
                self._scheduler.note_lived(message.attempt_id)
            case NoteReserved():
                self._scheduler.note_reserved(message.attempt_id)
            case NoteSent():
                self._scheduler.note_sent(message.attempt_id)
            case JudgeSilence():
                verdict = self._scheduler.judge_silence(
                    message.attempt_id, message.silent_ms
                )
                if verdict is SilenceVerdict.REPLACE:
                    self._metrics.upstreams.retries.labels(AttemptFault.SILENT).inc()
                    self._load_changed.set()
                _reply(message.reply, verdict)
            case DropAttempt():
                self._scheduler.drop_attempt(message.attempt_id)
            case NoteHandedOver():
                self._scheduler.note_handed_over(
                    message.request_id, is_over=message.is_over
                )
            case ResumeAttempt():
                is_tracked = self._scheduler.resume_attempt(
                    message.request_id, message.attempt_id
                )
                self._load_changed.set()
                _reply(message.reply, is_tracked)

    def _observe_load(
        self,
        message: (
            ObserveLoad
            | ObservePeerLoad
            | ObservePaces
            | ObserveRateLimit
            | ObserveStatement
        ),
    ) -> None:
        """Handle what upstreams or other VMs report of the upstreams."""
        match message:
            case ObserveLoad():
                self._scheduler.fleet.observe_load(message.report)
            case ObservePeerLoad():
                self._scheduler.fleet.observe_peer(message.vm, message.loads)
            case ObservePaces():
                self._scheduler.fleet.observe_paces(message.paces)
            case ObserveRateLimit():
                self._scheduler.fleet.observe_rate_limit(
                    message.upstream, message.requests_per_s, is_cold=message.is_cold
                )
            case ObserveStatement():
                self._scheduler.fleet.note_statement()

    def _observe_update(
        self,
        message: (
            ObserveCache
            | ObserveCheck
            | ObserveCrashes
            | ObserveEvacuations
            | ObserveIncarnations
            | ObservePath
            | ObserveRuns
            | ObserveShares
            | ObserveUsage
        ),
    ) -> None:
        """Handle cache events, crashes, lost paths, and usage of other VMs."""
        match message:
            case ObserveCheck():
                self._scheduler.fleet.observe_check(
                    message.upstream,
                    message.liveness,
                    message.at_ms,
                    message.incarnation,
                )
                # What it proves about crashes is announced with the loads.
                self._load_changed.set()
            case ObserveIncarnations():
                self._scheduler.fleet.observe_incarnations(message.incarnations)
            case ObserveEvacuations():
                self._scheduler.fleet.observe_evacuations(message.zones)
            case ObservePath():
                self._scheduler.observe_path(message.service, message.verdict)
            case ObserveCache():
                self._scheduler.fleet.observe_cache(message.events)
            case ObserveCrashes():
                self._scheduler.fleet.observe_crashes(message.sightings)
            case ObserveRuns():
                self._scheduler.fleet.observe_runs(message.sightings)
            case ObserveShares():
                self._observe_shares(message)
            case ObserveUsage():
                self._scheduler.limits.observe(
                    message.vm, message.update, self._clock.now_ms()
                )

    def _observe_shares(self, message: ObserveShares) -> None:
        if self._scheduler.shares is not None:
            now_ms = self._clock.now_ms()
            self._scheduler.shares.observe(message.vm, message.sums, now_ms)

    def _end_attempt(self, message: EndAttempt) -> None:
        failure = self._scheduler.end_attempt(message.end)
        fault = message.end.fault
        if fault is AttemptFault.BROKEN:
            self._crash_seen.set()
        if fault is not None and failure is None:
            self._metrics.upstreams.retries.labels(fault.value).inc()
        _reply(message.reply, failure)

    def _observe(self, message: Observe) -> None:
        self._scheduler.fleet.observe(message.loads, message.leaving)
        self._scheduler.limits.n_vms = message.n_vms
        self._metrics.limit_vms.set(message.n_vms)
        self._metrics.upstreams.leaving.set(len(message.leaving))
        self._update_upstream_gauges()

    def _update_upstream_gauges(self) -> None:
        """Set the gauges, as often as reports are exchanged with the agent."""
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

    def _deliver_decisions(self) -> None:
        for decision in self._scheduler.poll():
            self._deliver(decision)
            self._load_changed.set()

    def _submit(self, message: Submit) -> None:
        """Admit a request after placing queued requests for which there is capacity.

        Several requests may arrive between two polls: a burst, or all requests that
        came in while the VM was paused. If the earlier requests still counted as
        queued, the last ones would be refused although upstreams are idle.
        """
        if self._scheduler.n_queued:
            self._deliver_decisions()
        failure = self._scheduler.submit(message.request)
        if failure is None:
            self._outboxes[message.request.request_id] = message.decisions
        _reply(message.reply, failure)

    def _deliver(self, decision: Decision) -> None:
        request_id = decision.request.request_id
        outbox = self._outboxes.get(request_id)
        if outbox is not None:
            outbox.put_nowait(decision)


def _reply(future: asyncio.Future[Reply], reply: Reply) -> None:
    """Reply to a handler, unless it was cancelled because its caller disconnected."""
    if not future.done():
        future.set_result(reply)


__all__ = ("DispatchTask",)
