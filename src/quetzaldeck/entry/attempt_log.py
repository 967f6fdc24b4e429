"""Records the attempts of one call, and has replicas checked that may have crashed."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.poison import format_fingerprint
from quetzaldeck.entry.sending import find_evidence
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.entry.attempt_run import AttemptRun
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.upstreams import UpstreamError

MAX_LOGGED_PARTS = 8
"""Parts of a prompt that one log line names."""


class AttemptLog:
    """Records what becomes of the attempts of one call, and what it says of replicas.

    A replica to which a connection broke, or which may run a request for which nobody
    waits, is checked.
    """

    def __init__(self, state: EntryState, call: Call) -> None:
        self._state = state
        self._call = call

    def record_dispatch(self, dispatch: Dispatch) -> None:
        """Record that the scheduler has placed an attempt."""
        wait_ms = self._state.clock.now_ms() - self._call.arrived_ms
        if dispatch.n_attempt == 1:
            length = dispatch.request.length_class.value
            metric = self._state.metrics.queue_wait_seconds.labels(length)
            metric.observe(wait_ms / 1_000)
        self._state.metrics.placements.observe(dispatch)
        log_event(
            "dispatched",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=dispatch.n_attempt,
            upstream=dispatch.upstreams[-1],
            readers=",".join((*dispatch.upstreams[:-1], *dispatch.helpers)),
            n_prompt_tokens=dispatch.request.n_prompt_tokens,
            wait_ms=wait_ms,
        )

    def record_fault(self, attempt: AttemptRun, error: UpstreamError) -> None:
        """Record that the upstream of an attempt has failed."""
        self._state.metrics.attempt_faults.labels(error.fault.value).inc()
        if error.fault is AttemptFault.EVACUATED:
            kind = attempt.runner.stage.value
            self._state.metrics.upstreams.diverted.labels(kind).inc()
        log_event(
            "attempt_failed",
            level="WARNING",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=attempt.dispatch.n_attempt,
            upstream=error.upstream or attempt.upstream,
            fault=error.fault.value,
            may_have_run=error.may_have_run,
            evidence=find_evidence(error).value,
            connection=attempt.runner.connection,
            parts=self._list_parts(),
            error=error,
        )

    def record_resumed(self, attempt: AttemptRun) -> None:
        """Record that a silent attempt has gone on."""
        self._state.metrics.upstreams.attempts_resumed.inc()
        log_event(
            "attempt_resumed",
            request=self._call.head.call_id,
            n_attempt=attempt.dispatch.n_attempt,
            upstream=attempt.upstream,
        )

    def record_replaced(self, attempt: AttemptRun) -> None:
        """Record an attempt that is silent, and that another one is to replace."""
        self._state.metrics.attempt_faults.labels(AttemptFault.SILENT.value).inc()
        attempt.runner.note_silent(attempt.dispatch)
        self._state.crash_checks.note_left(attempt.dispatch.upstreams)

    def record_left(self, attempt: AttemptRun) -> None:
        """Record an attempt that is not awaited any more; its replica may run it."""
        sent_ms = attempt.runner.sent_ms
        if sent_ms is None:
            return
        self._state.metrics.upstreams.attempts_left.inc()
        log_event(
            "attempt_left",
            request=self._call.head.call_id,
            fingerprint=format_fingerprint(self._call.fingerprint),
            n_attempt=attempt.dispatch.n_attempt,
            upstream=attempt.upstream,
            run_ms=self._state.clock.now_ms() - sent_ms,
            parts=self._list_parts(),
        )
        self._state.crash_checks.note_left(attempt.dispatch.upstreams)

    def check_replica(self, attempt: AttemptRun, error: UpstreamError) -> None:
        """Find out whether the replica of a failed attempt lives."""
        replica = attempt.runner.replica
        checks = self._state.crash_checks
        if error.fault is AttemptFault.BROKEN and replica is not None:
            checks.note_broken(replica)
            checks.note_left(attempt.dispatch.upstreams[:-1])
        elif error.fault is AttemptFault.SILENT:
            checks.note_left(attempt.dispatch.upstreams)

    def _list_parts(self) -> str:
        """:returns: the shared parts of the prompt, the first ones if there are many"""
        return ",".join(self._call.head.shared_parts[:MAX_LOGGED_PARTS])


__all__ = ("AttemptLog",)
