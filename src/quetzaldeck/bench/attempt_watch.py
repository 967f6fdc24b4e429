"""Detects silent attempts, as an entry VM does."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.decisions.silence_thresholds import (
    SILENCE_RECHECK_MS,
    first_byte_threshold_ms,
    stream_gap_threshold_ms,
)

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue

MIN_RECHECK_MS = 0.001
"""Shortest wait before a recheck; a shorter one counts as elapsed.

Rounding errors could otherwise schedule the same check again without end.
"""


class AttemptWatch:
    """Asks the scheduler whether another attempt is to replace a silent one.

    :param attempt: the attempt, sent at the current time
    """

    def __init__(self, attempt: BenchAttempt, events: EventQueue) -> None:
        self._attempt = attempt
        self._events = events
        self._last_token_ms = events.now_ms
        self._has_begun = False

    def begin(self) -> None:
        """Schedule the first check for when the first token becomes overdue."""
        self._events.after(self._threshold_ms(), self._check)

    def note_token(self) -> None:
        """Restart the silence interval: a token arrived."""
        self._has_begun = True
        self._last_token_ms = self._events.now_ms

    def _threshold_ms(self) -> float:
        call = self._attempt.call
        if not self._has_begun:
            return first_byte_threshold_ms(call.target_ms)
        return stream_gap_threshold_ms(call.max_gap_ms) or call.deadline_ms

    def _check(self) -> None:
        attempt = self._attempt
        if not attempt.vm.is_running(attempt) or not attempt.call.is_repeatable:
            return
        silent_ms = self._events.now_ms - self._last_token_ms
        remaining_ms = self._threshold_ms() - silent_ms
        if remaining_ms >= MIN_RECHECK_MS:
            self._events.after(remaining_ms, self._check)
            return
        judge_silence = attempt.vm.scheduler.judge_silence
        if judge_silence(attempt.attempt_id, silent_ms) is SilenceVerdict.REPLACE:
            attempt.vm.leave_attempt(attempt)
        self._events.after(SILENCE_RECHECK_MS, self._check)


__all__ = ("MIN_RECHECK_MS", "AttemptWatch")
