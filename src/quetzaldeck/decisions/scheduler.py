"""The scheduler of one VM, which handles a request from its arrival to its end."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.decisions.admission import BoundsOnly
from quetzaldeck.decisions.attempts.answer_learner import AnswerLearner
from quetzaldeck.decisions.attempts.attempt_starter import AttemptStarter
from quetzaldeck.decisions.attempts.monitor import AttemptMonitor
from quetzaldeck.decisions.attempts.tracked import TrackedRequest, TrackedRequests
from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.estimation import TokenEstimator
from quetzaldeck.decisions.explanations import PlacementExplainer
from quetzaldeck.decisions.fair_shares import ShareTracker
from quetzaldeck.decisions.fleet_observer import FleetObserver
from quetzaldeck.decisions.groups import GroupPlanner
from quetzaldeck.decisions.head_of_line import Unprotected
from quetzaldeck.decisions.limits import CustomerLimiter
from quetzaldeck.decisions.placement.path_verdicts import PathVerdicts
from quetzaldeck.decisions.placement.placer import Placer
from quetzaldeck.decisions.placement.refusal_check import RefusalCheck
from quetzaldeck.decisions.poison import PoisonRegistry
from quetzaldeck.decisions.rate_limits import MAX_OPTIONAL_PERMITS
from quetzaldeck.decisions.retries import NO_CHARGE, RetryPolicy
from quetzaldeck.decisions.scheduler_bounds import SchedulerBounds
from quetzaldeck.decisions.scheduling.arrival_check import ArrivalCheck
from quetzaldeck.decisions.scheduling.attempt_releaser import AttemptReleaser
from quetzaldeck.decisions.scheduling.attempt_replacer import AttemptReplacer
from quetzaldeck.decisions.scheduling.failed_attempts import FailedAttemptHandler
from quetzaldeck.decisions.scheduling.queue_sweep import QueueSweep
from quetzaldeck.decisions.scheduling.waiting import WaitingRequests
from quetzaldeck.decisions.silence.policy import SilencePolicy
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_table import UpstreamTable

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import Bundle
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.admission import AdmissionPolicy
    from quetzaldeck.decisions.decision import AttemptEnd, Decision
    from quetzaldeck.decisions.explanations import Explanation
    from quetzaldeck.decisions.groups import GroupBounds
    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.paths import PathVerdict
    from quetzaldeck.decisions.placement import PlacementPolicy
    from quetzaldeck.decisions.poison import PoisonBounds
    from quetzaldeck.decisions.queueing import PassedOver, QueuePolicy
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.retries import ResendBudget
    from quetzaldeck.decisions.silence.verdict import SilenceVerdict
    from quetzaldeck.outcomes import Failure


class Scheduler:
    """Decides which requests are admitted, queued or refused, and where they run.

    It does no I/O: the dispatch task of the gateway and the event loop of the bench
    pass it events and carry out its decisions.

    :param queue: chooses the next request
    :param placement: chooses the upstream
    :param admission: refuses requests that cannot be answered in time
    :param head_of_line: restricts the upstreams of a request
    :param resend_budget: budget of sends of a request after its first
    :param groups: parameters of engine groups that share the memory of long prompts
    :param poison: thresholds for requests that crash upstreams
    :param has_fair_shares: whether what other VMs dispatched for a customer counts
    """

    def __init__(
        self,
        *,
        clock: Clock,
        queue: QueuePolicy,
        placement: PlacementPolicy,
        admission: AdmissionPolicy | None = None,
        head_of_line: HeadOfLinePolicy | None = None,
        bounds: SchedulerBounds | None = None,
        resend_budget: ResendBudget | None = None,
        groups: GroupBounds | None = None,
        poison: PoisonBounds | None = None,
        has_fair_shares: bool = False,
    ) -> None:
        self._clock = clock
        self._queue = queue
        self._shares = ShareTracker(queue, clock.now_ms()) if has_fair_shares else None
        random_state = placement.random_state
        self._admission = admission or BoundsOnly(random_state=random_state)
        self._head_of_line = head_of_line or Unprotected()
        self._waiting = WaitingRequests(queue, self._admission)
        self._tokens = TokenEstimator()
        self._learner = AnswerLearner(self._admission, self._tokens)
        self._upstreams = table = UpstreamTable(random_state=random_state)
        self._poison = registry = PoisonRegistry(poison, count_upstreams=table.__len__)
        self._placement = placement
        planner = GroupPlanner(groups)
        self._paths = PathVerdicts()
        self._placer = Placer(
            table=table,
            policy=placement,
            poison=registry,
            head_of_line=self._head_of_line,
            max_requests=(bounds or SchedulerBounds()).max_requests_per_upstream,
            paths=self._paths,
            planner=planner,
        )
        self._refusals = RefusalCheck(
            table=table,
            planner=planner,
            poison=registry,
            paths=self._paths,
            random_state=random_state,
        )
        self._monitor = AttemptMonitor(table=table, policy=placement, poison=registry)
        self._retries = RetryPolicy(
            random_state=random_state, resend_budget=resend_budget
        )
        self._silence = SilencePolicy(
            placer=self._placer, paths=self._paths, retries=self._retries
        )
        self._limits = CustomerLimiter(random_state=random_state)
        self._tracked = TrackedRequests(self._limits)
        self._arrivals = ArrivalCheck(
            table=table,
            refusals=self._refusals,
            limits=self._limits,
            placer=self._placer,
            admission=self._admission,
        )
        self._explainer = PlacementExplainer(
            arrivals=self._arrivals,
            placer=self._placer,
            admission=self._admission,
            head_of_line=self._head_of_line,
            tokens=self._tokens,
            table=table,
            shared=(clock, table, registry, self._paths),
        )
        self._starter = AttemptStarter(
            clock=clock,
            table=table,
            placer=self._placer,
            head_of_line=self._head_of_line,
            tracked=self._tracked,
        )
        self._failed = FailedAttemptHandler(
            tracked=self._tracked,
            waiting=self._waiting,
            refusals=self._refusals,
            retries=self._retries,
            admission=self._admission,
            poison=registry,
        )
        self._releaser = AttemptReleaser(
            tracked=self._tracked,
            waiting=self._waiting,
            placer=self._placer,
            monitor=self._monitor,
            poison=registry,
        )
        self._replacer = AttemptReplacer(
            tracked=self._tracked,
            waiting=self._waiting,
            table=table,
            placer=self._placer,
            monitor=self._monitor,
            silence=self._silence,
            failed=self._failed,
            retries=self._retries,
            releaser=self._releaser,
        )
        self._sweep = QueueSweep(
            tracked=self._tracked,
            waiting=self._waiting,
            admission=self._admission,
            refusals=self._refusals,
            paths=self._paths,
            poison=registry,
            table=table,
            failed=self._failed,
            withdraw=self.withdraw,
        )
        self._fleet = FleetObserver(
            clock=clock,
            table=table,
            policy=placement,
            poison=registry,
            monitor=self._monitor,
            waiting=self._waiting,
        )

    @property
    def upstreams(self) -> UpstreamTable:
        """:returns: the table of upstreams"""
        return self._upstreams

    @property
    def fleet(self) -> FleetObserver:
        """:returns: the receiver of updates from upstreams and other VMs"""
        return self._fleet

    @property
    def placer(self) -> Placer:
        """:returns: the placer, which chooses upstreams for requests"""
        return self._placer

    @property
    def poison(self) -> PoisonRegistry:
        """:returns: the registry of requests suspected of crashing engines"""
        return self._poison

    @property
    def retries(self) -> RetryPolicy:
        """:returns: the policy that decides on retries"""
        return self._retries

    @property
    def admission(self) -> AdmissionPolicy:
        """:returns: the admission policy"""
        return self._admission

    @property
    def limits(self) -> CustomerLimiter:
        """:returns: the limiter that enforces this VM's share of the customer limits"""
        return self._limits

    @property
    def shares(self) -> ShareTracker | None:
        """:returns: the service of customers at other VMs; ``None``: it is not used"""
        return self._shares

    @property
    def n_queued(self) -> int:
        """:returns: requests that wait for placement or for the end of a backoff"""
        return len(self._waiting)

    @property
    def n_running(self) -> int:
        """:returns: running attempts"""
        return self._tracked.n_running

    def apply_bundle(self, bundle: Bundle) -> None:
        """Apply a bundle to requests that are not placed yet."""
        now_ms = self._clock.now_ms()
        self._upstreams.apply_bundle(bundle, now_ms)
        self._limits.configure(bundle, now_ms)
        tuning = tune(bundle)
        self._queue.configure(tuning)
        self._placement.configure(bundle)
        self._admission.configure(bundle, tuning)
        self._head_of_line.configure(bundle, tuning)
        self._waiting.note_capacity_freed()

    def observe_path(self, service: str, verdict: PathVerdict) -> None:
        """Apply whether this VM reaches the upstreams of a service."""
        self._paths.observe(service, verdict)
        self._waiting.note_capacity_freed()

    def submit(self, request: Request) -> Failure | None:
        """Queue a request or refuse it at once.

        :returns: the refusal, ``None`` if the request is queued
        """
        now_ms = self._clock.now_ms()
        n_uncorrected_tokens = request.n_prompt_tokens
        request = self._tokens.correct(request)
        self._head_of_line.note_arrival(request, now_ms)
        failure = self._arrivals.check(request, now_ms)
        if failure is not None:
            return failure
        self._tracked.add(TrackedRequest(request, n_uncorrected_tokens), now_ms)
        self._retries.note_admitted(request, now_ms)
        pause_ms = self._poison.max_pause_ms(request.crash_fingerprints, now_ms)
        pause_ms = pause_ms or self._placer.suspect_pause_ms(request, now_ms)
        if pause_ms:
            self._waiting.delay(request, now_ms + pause_ms, now_ms)
        else:
            self._waiting.add(request, now_ms)
        return None

    def explain(self, request: Request) -> Explanation:
        """:returns: what would become of a request that arrived now; nothing changes"""
        n_queued = self.n_queued
        return self._explainer.explain(request, self._clock.now_ms(), n_queued)

    def withdraw(self, request_id: str) -> None:
        """Remove a request whose caller disconnected or received the whole answer."""
        self._drop_if_unsent(request_id)
        now_ms = self._clock.now_ms()
        tracked = self._tracked.forget(request_id, now_ms)
        if tracked is not None:
            self._waiting.discard(request_id, now_ms)
            self._releaser.note_abandoned(tracked, now_ms)
            if self._silence.is_first_token_overdue(tracked, now_ms):
                self._monitor.note_unanswered(tracked.upstreams, now_ms)
            self._releaser.release(tracked)
            if not tracked.attempt_id:
                self._retries.give_back(tracked.request, tracked.charge, now_ms)

    def poll(self) -> list[Decision]:
        """:returns: decisions to carry out now: rejections first, then dispatches"""
        now_ms = self._clock.now_ms()
        self._poison.ends.advance(now_ms)
        self._waiting.end_delays(now_ms, partial(self._placer.pause_ms, now_ms=now_ms))
        if len(self._poison):
            pause_ms = partial(self._placer.suspect_pause_ms, now_ms=now_ms)
            self._waiting.set_aside(now_ms, pause_ms)
        decisions: list[Decision] = list(self._sweep.run(now_ms))
        started: list[Request] = []
        while (taken := self._waiting.take(now_ms, self._place)) is not None:
            request, upstreams = taken
            latest_ms = self._arrivals.latest_turn_ms(request, now_ms)
            decisions.append(self._starter.start(request, upstreams, now_ms, latest_ms))
            started.append(request)
        if self._shares is not None:
            # Now the queue holds only what could not be placed.
            for request in started:
                self._shares.note_dispatched(request, now_ms)
        return decisions

    def note_first_token(self, attempt_id: str) -> None:
        """Record that an attempt delivered its first token."""
        tracked = self._tracked.find(attempt_id)
        if tracked is None:
            return
        now_ms = self._clock.now_ms()
        self._learner.note_first_token(tracked, now_ms)
        self._tracked.update(tracked._replace(first_token_ms=now_ms))
        self._monitor.note_first_token(
            tracked.request, attempt_id, tracked.upstreams, now_ms
        )
        self._placer.release_helpers(attempt_id)
        self._waiting.note_capacity_freed()

    def note_lived(self, attempt_id: str) -> None:
        """Record that an engine has survived the beginning of an answer."""
        tracked = self._tracked.find(attempt_id)
        if tracked is None or tracked.first_token_ms is None:
            return
        self._monitor.note_lived(
            tracked.request,
            attempt_id,
            tracked.upstreams,
            tracked.first_token_ms,
            self._clock.now_ms(),
        )
        self._waiting.note_capacity_freed()

    def note_sent(self, attempt_id: str) -> None:
        """Record that an attempt was sent after it had waited for its turn."""
        tracked = self._tracked.find(attempt_id)
        if tracked is None:
            return
        now_ms = self._clock.now_ms()
        self._tracked.update(tracked._replace(dispatched_ms=now_ms))
        for name in tracked.upstreams:
            state = self._upstreams.get(name)
            if state is not None:
                state.ledger.note_sent(attempt_id, now_ms)

    def note_reserved(self, attempt_id: str) -> None:
        """Record that an attempt obtained the reservation its dispatch requested."""
        self._placer.note_reserved(attempt_id)
        self._waiting.note_capacity_freed()

    def judge_silence(self, attempt_id: str, silent_ms: float) -> SilenceVerdict:
        """Decide whether another attempt replaces one that sends nothing.

        See :meth:`AttemptReplacer.judge`.

        :param silent_ms: time since its last event, or since it started
        """
        return self._replacer.judge(attempt_id, silent_ms, self._clock.now_ms())

    def resume_attempt(self, request_id: str, attempt_id: str) -> bool:
        """Take back a replaced attempt that continues before the other one writes.

        :returns: whether the attempt is tracked again; if not, its request is not
        """
        self._drop_if_unsent(request_id)
        return self._replacer.resume(request_id, attempt_id, self._clock.now_ms())

    def drop_attempt(self, attempt_id: str) -> None:
        """Forget an attempt that is not sent after all, which shows nothing."""
        tracked = self._tracked.find(attempt_id)
        if tracked is None:
            return
        now_ms = self._clock.now_ms()
        self._releaser.note_unsent(tracked, now_ms)
        self._releaser.release(tracked)
        self._retries.give_back(tracked.request, tracked.charge, now_ms)
        self._tracked.update(
            tracked._replace(
                attempt_id="", upstreams=(), charge=NO_CHARGE, is_kept=True
            )
        )

    def retry_kept(self, request_id: str) -> Failure | None:
        """Queue another attempt of a request that was kept, if one is allowed now.

        A request is kept if no further attempt of it could be made while a silent one
        runs, or if its last one was not sent.

        :returns: why there is none, ``None`` if another attempt is queued
        """
        return self._failed.retry_kept(request_id, self._clock.now_ms())

    def _drop_if_unsent(self, request_id: str) -> None:
        """Forget the attempt of a request that still waits for memory."""
        tracked = self._tracked.get(request_id)
        if tracked is not None and self._placer.waits_for_memory(tracked.attempt_id):
            self.drop_attempt(tracked.attempt_id)

    def note_handed_over(self, request_id: str, *, is_over: bool = False) -> None:
        """Record that another VM makes the attempts that are left to a request.

        :param is_over: whether none does any more, and none has run the request
        """
        tracked = self._tracked.get(request_id)
        if tracked is not None:
            history = tracked.history._replace(is_handed_over=not is_over)
            self._tracked.update(tracked._replace(history=history))

    def end_attempt(self, end: AttemptEnd) -> Failure | None:
        """Handle the end of an attempt; a failed one is retried if allowed.

        :returns: the final failure, ``None`` if complete or to be retried
        """
        tracked = self._tracked.find(end.attempt_id)
        if tracked is None:
            return None
        now_ms = self._clock.now_ms()
        self._monitor.note_end(tracked.request, end, tracked.upstreams, now_ms)
        if end.fault is AttemptFault.RATE_LIMITED:
            self._fleet.note_permit_refused(end.upstream, end.retry_after_ms or 0.0)
        self._releaser.release(tracked)
        if end.fault is None:
            begun_ms = tracked.first_token_ms or tracked.dispatched_ms
            self._poison.note_lived(tracked.request.part_fingerprints, begun_ms, now_ms)
            self._learner.note_answer(tracked, end, now_ms)
            self._tracked.forget(tracked.request.request_id, now_ms)
            return None
        return self._failed.handle(tracked, end, now_ms)

    def pop_passed_over(self) -> list[PassedOver]:
        """:returns: requests overtaken because of shares since the last call"""
        return [] if self._shares is None else self._queue.pop_passed_over()

    def _place(self, request: Request) -> tuple[str, ...] | None:
        tracked = self._tracked[request.request_id]
        history = tracked.history
        now_ms = self._clock.now_ms()
        placed = self._placer.place(
            request,
            history.avoided,
            now_ms,
            self._arrivals.latest_turn_ms(request, now_ms),
            prefers_unlimited=history.n_rate_limited >= MAX_OPTIONAL_PERMITS,
        )
        if placed is None:
            serving = self._upstreams.list_serving(request)
            has_idle = any(state.is_idle(now_ms) for state in serving)
            self._tracked.update(tracked.note_refused(now_ms, has_idle=has_idle))
        return placed


__all__ = ("Scheduler",)
