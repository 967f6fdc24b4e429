"""A simulated VM: the real scheduler between callers and upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bench.attempt_launcher import AttemptLauncher
from quetzaldeck.bench.attempt_watch import MIN_RECHECK_MS
from quetzaldeck.bench.bench_attempt import BenchAttempt
from quetzaldeck.bench.bench_engine import BenchEngine
from quetzaldeck.bench.call_result import Outcome
from quetzaldeck.bench.submission import Submission, build_request
from quetzaldeck.decisions import AttemptEnd, AttemptFault, Dispatch
from quetzaldeck.decisions.paths import PathBounds
from quetzaldeck.decisions.placement import CacheCursor
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.bench.bench_upstream import BenchUpstream
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.submission import CallState
    from quetzaldeck.decisions import LoadReport, Scheduler
    from quetzaldeck.decisions.groups import GroupBounds
    from quetzaldeck.decisions.loads.peer_load import VmLoad

    EndHandler = Callable[[CallState, Outcome, Failure | None], None]

POLL_INTERVAL_MS = 20.0


class BenchVm:
    """Drives a scheduler as the gateway's tasks do and carries out its decisions.

    :param on_end: called with the outcome of each submission
    :param groups: limits of group reservations, for prompts larger than one engine's
        memory
    :param abandons_silent: whether silent attempts are abandoned as by an entry VM
    """

    def __init__(
        self,
        name: str,
        availability_zone: str,
        scheduler: Scheduler,
        upstreams: Mapping[str, BenchUpstream],
        events: EventQueue,
        *,
        latency_ms: float,
        on_end: EndHandler,
        groups: GroupBounds,
        abandons_silent: bool = False,
    ) -> None:
        self.name = name
        self.availability_zone = availability_zone
        self.scheduler = scheduler
        self.is_down = False
        self._upstreams = upstreams
        self._events = events
        self._latency_ms = latency_ms
        self._on_end = on_end
        self._launcher = AttemptLauncher(
            upstreams,
            events,
            latency_ms=latency_ms,
            groups=groups,
            abandons_silent=abandons_silent,
        )
        self._submissions: dict[str, Submission] = {}
        self._cache_cursors: dict[str, CacheCursor] = {}
        self._is_polling = False

    def submit(self, state: CallState) -> None:
        """Submit a call that arrives at the current time."""
        call = state.call
        now_ms = self._events.now_ms
        state.submitted_ms.append(now_ms)
        request = build_request(state, now_ms)
        failure = self.scheduler.submit(request)
        submission = Submission(state, request)
        if failure is not None:
            self._on_end(state, Outcome.REFUSED, failure)
            return
        self._submissions[request.request_id] = submission
        self._events.at(request.deadline_ms, lambda: self._expire(submission))
        if call.disconnects_after_ms is not None:
            self._events.after(
                call.disconnects_after_ms, lambda: self._disconnect(submission)
            )
        if call.caller_idle_timeout_ms:
            self._events.after(
                call.caller_idle_timeout_ms,
                lambda: self._check_idle_timeout(submission),
            )
        self.poll()

    def list_loads(self) -> list[tuple[str, VmLoad]]:
        """:returns: the load that this VM puts on each upstream"""
        now_ms = self._events.now_ms
        return [(u.spec.name, u.own_load(now_ms)) for u in self.scheduler.upstreams]

    def list_queued(self) -> list[str]:
        """:returns: ids of the calls that wait here for an upstream"""
        return [
            submission.state.call.call_id
            for submission in self._submissions.values()
            if submission.attempt is None
        ]

    def observe_load(self, report: LoadReport) -> None:
        """Deliver the load report of an answer to the VM after the network latency."""
        observe = self.scheduler.fleet.observe_load
        self._events.after(self._latency_ms, lambda: observe(report))

    def is_running(self, attempt: BenchAttempt) -> bool:
        """:returns: whether this attempt of an open submission may yet write"""
        return self._find_submission(attempt) is not None

    def leave_attempt(self, attempt: BenchAttempt) -> None:
        """Let a silent attempt run until the one that replaces it writes."""
        submission = self._find_submission(attempt)
        if submission is not None and submission.attempt is attempt:
            submission.attempt = None
            submission.replaced.append(attempt)
            self.poll()

    def poll(self) -> None:
        """Carry out the scheduler's decisions; poll again while requests are queued."""
        if self.is_down:
            return
        for decision in self.scheduler.poll():
            submission = self._submissions.get(decision.request.request_id)
            if submission is None:
                continue
            if isinstance(decision, Dispatch):
                self._start(submission, decision)
            else:
                self._fail(submission, decision.failure)
        if self.scheduler.n_queued and not self._is_polling:
            self._is_polling = True
            self._events.after(POLL_INTERVAL_MS, self._poll_again)

    def receive(self, attempt: BenchAttempt, *, is_last: bool) -> None:
        """Deliver a token, or a whole plain answer, after the network latency."""
        self._events.after(
            self._latency_ms, lambda: self._handle_token(attempt, is_last=is_last)
        )

    def fail_attempt(
        self,
        attempt: BenchAttempt,
        fault: AttemptFault,
        *,
        may_have_run: bool = True,
        upstream: str = "",
    ) -> None:
        """Deliver the failure of an attempt to the VM after the network latency."""
        self._events.after(
            self._latency_ms,
            lambda: self._handle_fault(
                attempt, fault, may_have_run=may_have_run, upstream=upstream
            ),
        )

    def schedule_idle_timeout(
        self, attempt: BenchAttempt, idle_timeout_ms: float
    ) -> None:
        """Fail the attempt as silent after ``idle_timeout_ms``."""
        self._events.after(
            idle_timeout_ms,
            lambda: self._handle_fault(attempt, AttemptFault.SILENT, may_have_run=True),
        )

    def count_execution(self, attempt: BenchAttempt) -> None:
        """Count an execution: an upstream began to run the attempt."""
        submission = self._submissions.get(attempt.dispatch.request.request_id)
        if submission is not None:
            submission.state.n_executions += 1

    def crash(self) -> None:
        """Go down: all open calls are cut off and their attempts cancelled."""
        self.is_down = True
        open_submissions = list(self._submissions.values())
        self._submissions.clear()
        for submission in open_submissions:
            self._cancel(submission)
            self._on_end(submission.state, Outcome.CUT_OFF, None)

    def _poll_again(self) -> None:
        self._is_polling = False
        self.poll()

    def _start(self, submission: Submission, dispatch: Dispatch) -> None:
        call = submission.state.call
        attempt = BenchAttempt(self, call, dispatch, submission.n_delivered)
        submission.attempt = attempt
        submission.state.upstreams += dispatch.upstreams
        self._launcher.launch(attempt)

    def _find_submission(self, attempt: BenchAttempt) -> Submission | None:
        submission = self._submissions.get(attempt.dispatch.request.request_id)
        if submission is None or attempt not in submission.living:
            return None
        return submission

    def _handle_token(self, attempt: BenchAttempt, *, is_last: bool) -> None:
        submission = self._find_submission(attempt)
        if submission is None:
            return
        self._claim(submission, attempt)
        if submission.n_delivered == attempt.n_delivered:
            self._apply_cache_events(attempt)
            self.scheduler.note_first_token(attempt.attempt_id)
        submission.n_delivered += 1
        if attempt.watch is not None:
            attempt.watch.note_token()
        state = submission.state
        state.note_token(self._events.now_ms)
        if not is_last:
            return
        if attempt.group is not None:
            attempt.group.release()
        submission.attempt = None
        end = AttemptEnd(
            attempt.attempt_id,
            n_output_tokens=submission.n_delivered,
            n_prompt_tokens=state.call.n_prompt_tokens,
        )
        self.scheduler.end_attempt(end)
        self._close(submission, None)
        self.poll()

    def _claim(self, submission: Submission, winner: BenchAttempt) -> None:
        """Let an attempt write to the caller, and give up all others."""
        if not submission.replaced:
            return
        for attempt in submission.living:
            if attempt is not winner:
                self._launcher.cancel(attempt)
        is_replaced = winner in submission.replaced
        submission.replaced.clear()
        submission.attempt = winner
        submission.failure = None
        if is_replaced:
            request_id = submission.request.request_id
            self.scheduler.resume_attempt(request_id, winner.attempt_id)

    def _apply_cache_events(self, attempt: BenchAttempt) -> None:
        """Apply the cache events that arrive with an answer's first token."""
        name = attempt.dispatch.upstreams[-1]
        engine = self._upstreams[name]
        if not isinstance(engine, BenchEngine):
            return
        cursor = self._cache_cursors.get(name, CacheCursor())
        events = engine.list_cache_events(cursor)
        self._cache_cursors[name] = cursor.after(events)
        self.scheduler.fleet.observe_cache(events)

    def _handle_fault(
        self,
        attempt: BenchAttempt,
        fault: AttemptFault,
        *,
        may_have_run: bool,
        upstream: str = "",
    ) -> None:
        submission = self._find_submission(attempt)
        if submission is None:
            return
        self._launcher.cancel(attempt)
        if attempt in submission.replaced:
            submission.replaced.remove(attempt)
            if submission.failure is not None:
                self._fail(submission, submission.failure)
            return
        submission.attempt = None
        end = AttemptEnd(
            attempt.attempt_id,
            fault,
            n_output_tokens=submission.n_delivered,
            may_have_run=may_have_run,
            upstream=upstream,
        )
        failure = self.scheduler.end_attempt(end)
        if failure is not None:
            self._fail(submission, failure)
        self.poll()

    def _fail(self, submission: Submission, failure: Failure) -> None:
        """Close a submission unless a silent attempt may yet answer it.

        A caller that has received nothing waits for no longer than sound upstreams are
        silent.
        """
        if not submission.replaced:
            self._close(submission, failure)
            return
        is_new = submission.failure is None
        submission.failure = failure
        if is_new and not submission.n_delivered:
            wait_ms = PathBounds().sound_silence_ms
            self._events.after(wait_ms, lambda: self._give_up(submission, failure))

    def _give_up(self, submission: Submission, failure: Failure) -> None:
        is_open = submission.request.request_id in self._submissions
        if is_open and submission.failure is failure and not submission.n_delivered:
            self._close(submission, failure)
            self.poll()

    def _expire(self, submission: Submission) -> None:
        if submission.request.request_id not in self._submissions:
            return
        ran = Ran.UNKNOWN if submission.has_dispatched else Ran.NO
        self._close(submission, Failure(Reason.DEADLINE_EXCEEDED, ran))
        self.poll()

    def _disconnect(self, submission: Submission) -> None:
        if submission.request.request_id in self._submissions:
            self._close(submission, Failure(Reason.CALLER_GONE, Ran.UNKNOWN))
            self.poll()

    def _check_idle_timeout(self, submission: Submission) -> None:
        """Disconnect the caller if it received no token within its idle timeout."""
        state = submission.state
        last_token_ms = max(state.last_token_ms, submission.request.arrived_ms)
        remaining_ms = (
            last_token_ms + state.call.caller_idle_timeout_ms - self._events.now_ms
        )
        if submission.request.request_id not in self._submissions:
            return
        if remaining_ms >= MIN_RECHECK_MS:
            self._events.after(
                remaining_ms, lambda: self._check_idle_timeout(submission)
            )
        else:
            self._disconnect(submission)

    def _close(self, submission: Submission, failure: Failure | None) -> None:
        del self._submissions[submission.request.request_id]
        self.scheduler.withdraw(submission.request.request_id)
        self._cancel(submission)
        self._on_end(submission.state, _outcome_of(submission, failure), failure)

    def _cancel(self, submission: Submission) -> None:
        for attempt in submission.living:
            self._launcher.cancel(attempt)


def _outcome_of(submission: Submission, failure: Failure | None) -> Outcome:
    if failure is None:
        return Outcome.ANSWERED
    if failure.reason is Reason.CALLER_GONE:
        return Outcome.GONE
    return Outcome.FAILED if submission.has_dispatched else Outcome.REFUSED


__all__ = ("BenchVm",)
