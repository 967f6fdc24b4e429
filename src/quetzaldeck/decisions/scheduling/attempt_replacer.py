"""Replaces attempts that are silent, and resumes those that continue first."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.attempts.tracked import ReplacedAttempt
from quetzaldeck.decisions.decision import AttemptEnd, AttemptFault
from quetzaldeck.decisions.retries import NO_CHARGE
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from quetzaldeck.decisions.attempts.monitor import AttemptMonitor
    from quetzaldeck.decisions.attempts.tracked import TrackedRequest, TrackedRequests
    from quetzaldeck.decisions.placement.placer import Placer
    from quetzaldeck.decisions.retries import RetryPolicy
    from quetzaldeck.decisions.scheduling.attempt_releaser import AttemptReleaser
    from quetzaldeck.decisions.scheduling.failed_attempts import FailedAttemptHandler
    from quetzaldeck.decisions.scheduling.waiting import WaitingRequests
    from quetzaldeck.decisions.silence.policy import SilencePolicy
    from quetzaldeck.decisions.upstream_table import UpstreamTable


_VERDICTS = {
    Reason.UPSTREAM_RATE_LIMITED: SilenceVerdict.RATE_LIMITED,
    Reason.POISON_SUSPECTED: SilenceVerdict.SUSPECTED,
}
"""Verdicts for the refusals of a replacement that the log distinguishes."""


class AttemptReplacer:
    """Queues another attempt beside a silent one, and takes back the silent one.

    :param tracked: stores admitted requests
    :param waiting: holds the requests that wait for their next attempt
    :param table: all upstreams, with their ledgers
    :param placer: accounts for the capacity of upstreams
    :param monitor: is notified of the ends of attempts
    :param silence: decides whether a silence calls for another attempt
    :param failed: decides on the other attempt, and queues it
    :param retries: gets back the charge of an attempt that is not made
    :param releaser: releases attempts
    """

    def __init__(
        self,
        *,
        tracked: TrackedRequests,
        waiting: WaitingRequests,
        table: UpstreamTable,
        placer: Placer,
        monitor: AttemptMonitor,
        silence: SilencePolicy,
        failed: FailedAttemptHandler,
        retries: RetryPolicy,
        releaser: AttemptReleaser,
    ) -> None:
        self._tracked = tracked
        self._waiting = waiting
        self._table = table
        self._placer = placer
        self._monitor = monitor
        self._silence = silence
        self._failed = failed
        self._retries = retries
        self._releaser = releaser

    def judge(self, attempt_id: str, silent_ms: float, now_ms: float) -> SilenceVerdict:
        """Decide whether another attempt replaces one that sends nothing.

        If so, the other one is queued in the same step, so that what allowed the
        replacement cannot refuse it afterwards. The silent attempt may keep running
        until the other one writes; see :meth:`resume`.

        :param silent_ms: time since its last event, or since it started
        :returns: whether it is replaced, or why not
        """
        tracked = self._tracked.find(attempt_id)
        if tracked is None:
            return SilenceVerdict.NO_RETRY
        verdict = self._silence.judge(tracked, silent_ms, now_ms)
        if verdict is not SilenceVerdict.REPLACE:
            return verdict
        end = AttemptEnd(
            attempt_id,
            AttemptFault.SILENT,
            n_output_tokens=int(tracked.first_token_ms is not None),
            upstream=tracked.upstreams[-1],
        )
        retry = self._failed.decide(tracked, end, now_ms)
        if isinstance(retry, Failure):
            return _VERDICTS.get(retry.reason, SilenceVerdict.NO_RETRY)
        replaced = self._build_replaced(tracked)
        self._monitor.note_end(tracked.request, end, tracked.upstreams, now_ms)
        self._releaser.release(tracked)
        self._failed.queue(tracked, end, retry, now_ms, replaced=(replaced,))
        return verdict

    def resume(self, request_id: str, attempt_id: str, now_ms: float) -> bool:
        """Take back a replaced attempt that continues before the other one writes.

        The other one is abandoned, whether it waits or runs.

        :returns: whether the attempt is tracked again; if not, its request is not
        """
        tracked = self._tracked.get(request_id)
        if tracked is None:
            return False
        replaced = next(
            (a for a in tracked.replaced if a.attempt_id == attempt_id), None
        )
        if replaced is None:
            return False
        self._waiting.discard(request_id, now_ms)
        history = tracked.history
        if tracked.attempt_id:
            end = AttemptEnd(tracked.attempt_id, AttemptFault.SILENT)
            history = history.after(end, tracked.upstreams)
            self._releaser.note_abandoned(tracked, now_ms)
            self._releaser.release(tracked)
        else:
            self._retries.give_back(tracked.request, tracked.charge, now_ms)
        self._tracked.update(
            tracked._replace(
                history=history.resume(replaced.upstreams),
                attempt_id=attempt_id,
                upstreams=replaced.upstreams,
                dispatched_ms=replaced.dispatched_ms,
                backlog_ms=replaced.backlog_ms,
                first_token_ms=replaced.first_token_ms,
                replaced=tuple(a for a in tracked.replaced if a is not replaced),
                charge=NO_CHARGE,
                is_kept=False,
            )
        )
        self._placer.restore(tracked.request, attempt_id, replaced.in_flight)
        self._monitor.note_resumed(replaced.upstreams, now_ms)
        return True

    def _build_replaced(self, tracked: TrackedRequest) -> ReplacedAttempt:
        in_flight = []
        for name in tracked.upstreams:
            state = self._table.get(name)
            attempt = None if state is None else state.ledger.get(tracked.attempt_id)
            if state is not None and attempt is not None:
                in_flight.append((state, attempt))
        return ReplacedAttempt(
            tracked.attempt_id,
            tracked.upstreams,
            tracked.dispatched_ms,
            tracked.backlog_ms,
            tracked.first_token_ms,
            tuple(in_flight),
        )


__all__ = ("AttemptReplacer",)
