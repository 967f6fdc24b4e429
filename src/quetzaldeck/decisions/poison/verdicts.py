"""Verdicts on requests by the crashes in which they ran.

A crash counts only against those of its requests that were in the most crashes: the
next crash separates the culprit from those that only ran alongside. Two requests that
were in the same crashes share the blame until one of them has run alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.blocked_request import BlockedRequest
from quetzaldeck.decisions.poison.crash_limit import CrashLimit
from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.part_verdicts import PartVerdicts
from quetzaldeck.decisions.poison.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Callable, Collection

    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.crash import Crash
    from quetzaldeck.decisions.poison.crash_table import CrashTable

N_PAUSES = 64
"""Number of different pauses of suspects."""


class CrashVerdicts:
    """Judges requests, and parts of their prompts, by their fingerprints.

    :param bounds: thresholds
    :param table: all crashes
    :param count_upstreams: returns how many upstreams there are that may crash
    """

    def __init__(
        self,
        bounds: PoisonBounds,
        table: CrashTable,
        count_upstreams: Callable[[], int],
    ) -> None:
        self._bounds = bounds
        self._table = table
        self._limit = CrashLimit(bounds, table, count_upstreams)
        self._parts = PartVerdicts(bounds, table, self._limit)

    def n_crashes(self, fingerprint: int, now_ms: float) -> int:
        """:returns: crashes that count against a request

        A crash does not count against a request while another request of that crash
        was in more crashes; it counts again once the other one is cleared.
        """
        if is_part(fingerprint):
            return self._parts.n_crashes(fingerprint, now_ms)
        oldest_ms = now_ms - self._bounds.forget_ms
        return sum(
            involvement.seen_ms >= oldest_ms
            and crash.counts
            and self._table.n_counted(fingerprint) >= self._highest_count(crash)
            for crash, involvement in self._table.find(fingerprint).items()
        )

    def find(self, fingerprint: int, now_ms: float) -> Verdict:
        """:returns: whether a request runs normally, isolated, or not at all"""
        if fingerprint not in self._table:
            return Verdict.CLEAR
        if is_part(fingerprint):
            return self._parts.find(fingerprint, now_ms)
        n_crashes = self.n_crashes(fingerprint, now_ms)
        if n_crashes >= self._find_limit(fingerprint, n_crashes):
            return Verdict.REFUSED
        is_suspect = n_crashes or self._is_in_doubt(fingerprint, now_ms)
        return Verdict.SUSPECT if is_suspect else Verdict.CLEAR

    def is_explained(self, fingerprint: int, now_ms: float) -> bool:
        """:returns: whether a refused request was in all crashes of another one"""
        if is_part(fingerprint) or self.find(fingerprint, now_ms) is Verdict.REFUSED:
            return False
        refused = {
            other: self.find(other, now_ms) is Verdict.REFUSED
            for other in self.find_others(fingerprint)
        }
        return any(refused.values()) and all(
            any(refused.get(other, False) for other in crash.fingerprints)
            for crash in self._table.find(fingerprint)
            if crash.counts
        )

    def find_others(self, fingerprint: int) -> set[int]:
        """:returns: other requests that ran in crashes of a request"""
        return {
            other
            for crash in self._table.find(fingerprint)
            if crash.counts
            for other in crash.fingerprints - {fingerprint}
            if not is_part(other)
        }

    def is_doubted(self, part: int) -> bool:
        """:returns: whether a part ran in a crash, and in no answer since or before"""
        return self._parts.is_doubted(part)

    def judge(self, fingerprints: Collection[int], now_ms: float) -> Verdict:
        """:returns: the verdict on a request, given it and all parts of its prompt"""
        verdicts = {self.find(fingerprint, now_ms) for fingerprint in fingerprints}
        if verdicts == {Verdict.CLEAR}:
            return Verdict.CLEAR
        if self.find_blocked_by(fingerprints, now_ms) is not None:
            return Verdict.REFUSED
        return Verdict.SUSPECT

    def find_blocked_by(
        self, fingerprints: Collection[int], now_ms: float
    ) -> BlockedRequest | None:
        """:returns: why a request is refused, given it and all parts of its prompt"""
        for fingerprint in fingerprints:
            blocked = self.find_blocked(fingerprint, now_ms)
            if blocked is None:
                continue
            if not is_part(fingerprint) or self._parts.explains(
                fingerprint, fingerprints, now_ms
            ):
                return blocked
        return None

    def list_crashed(self, fingerprint: int) -> list[str]:
        """:returns: upstreams that crashed while they ran a request, in that order"""
        counted = [crash for crash in self._table.find(fingerprint) if crash.counts]
        return [crash.upstream for crash in sorted(counted, key=_time_of)]

    def pause_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: pause before a suspect runs; 0 for any other request

        The pause starts at the last known crash. Without it, a copy that arrives at
        this VM while another VM runs one could crash an upstream before this VM learns
        of the other crash. All VMs draw the same pause for a request.
        """
        if self.find(fingerprint, now_ms) is not Verdict.SUSPECT:
            return 0.0
        involvements = self._table.find(fingerprint).items()
        counted_ms = [item.seen_ms for crash, item in involvements if crash.counts]
        if not counted_ms:
            return 0.0
        shortest_ms = self._bounds.min_propagation_ms
        range_ms = self._bounds.propagation_ms - shortest_ms
        pause_ms = shortest_ms + range_ms * (fingerprint % N_PAUSES) / (N_PAUSES - 1)
        return max(0.0, max(counted_ms) + pause_ms - now_ms)

    def find_blocked(self, fingerprint: int, now_ms: float) -> BlockedRequest | None:
        """:returns: a request that is refused, and why; ``None`` if it is not"""
        if self.find(fingerprint, now_ms) is not Verdict.REFUSED:
            return None
        if is_part(fingerprint):
            return self._find_blocked_part(fingerprint, now_ms)
        limit = self._find_limit(fingerprint, self.n_crashes(fingerprint, now_ms))
        own = self._table.find(fingerprint).items()
        counted = [(item.seen_ms, crash) for crash, item in own if crash.counts]
        seen_ms = sorted(at_ms for at_ms, _ in counted)
        presumed_ms = [at_ms for at_ms, crash in counted if crash.is_presumed]
        until_ms = seen_ms[-limit] + self._bounds.forget_ms
        if len(counted) - len(presumed_ms) < limit:
            judged_ms = max(presumed_ms) + self._bounds.presumed_ms
            until_ms = judged_ms if judged_ms > now_ms else until_ms
        return BlockedRequest(
            fingerprint, tuple(self.list_crashed(fingerprint)), seen_ms[0], until_ms
        )

    def _find_blocked_part(self, part: int, now_ms: float) -> BlockedRequest:
        seen_ms = self._parts.list_counted_ms(part, now_ms)
        until_ms = seen_ms[-1] + self._bounds.forget_ms
        crashed = tuple(self.list_crashed(part))
        return BlockedRequest(part, crashed, seen_ms[0], until_ms)

    def _is_in_doubt(self, fingerprint: int, now_ms: float) -> bool:
        """:returns: whether it ran in what may have been a crash

        Also if another request was in more crashes: while they are presumed, not all
        VMs know the same ones, and that other request may be a bystander.
        """
        oldest_ms = now_ms - self._bounds.unproven_ms
        return any(
            not crash.is_certain and involvement.seen_ms >= oldest_ms
            for crash, involvement in self._table.find(fingerprint).items()
        )

    def _find_limit(self, fingerprint: int, n_crashes: int) -> int:
        """:returns: number of crashes at which a request is refused

        Of requests that may each be to blame for the same crashes one is refused. The
        others run alone: if one of them crashes an upstream, it was in the most
        crashes, and that clears the one that is refused.
        """
        limit = self._limit.find(fingerprint, n_crashes)
        if n_crashes < limit:
            return limit
        rivals = self._find_rivals(fingerprint)
        if not rivals:
            return limit
        if self._was_answered(fingerprint) or min(rivals) < fingerprint:
            return n_crashes + 1
        return self._bounds.max_crashes

    def _find_rivals(self, fingerprint: int) -> set[int]:
        """:returns: other requests that explain its crashes; none if they do not

        Each was in as many crashes as are no coincidence. One that had been answered
        before it ran in them is less likely to be to blame.

        One crash that is only presumed may be left over: not all that ran there is
        known, as VMs tell of it one after the other, and one that was killed tells of
        nothing. The next run, alone, would leave over another one.
        """
        rivals: set[int] = set()
        n_left_over = 0
        for crash in self._table.find(fingerprint):
            if not crash.counts:
                continue
            others = {
                other
                for other in crash.fingerprints - {fingerprint}
                if not is_part(other)
                and self._table.n_counted(other) >= self._bounds.n_crashes
                and not self._was_answered(other)
            }
            rivals |= others
            n_left_over += not others
            if not others and (n_left_over > 1 or not crash.is_presumed):
                return set()
        return rivals

    def _highest_count(self, crash: Crash) -> int:
        """:returns: most crashes that any one request of ``crash`` was in"""
        return max(
            self._table.n_counted(other)
            for other in crash.fingerprints
            if not (is_part(other) and self._was_answered(other))
        )

    def _was_answered(self, fingerprint: int) -> bool:
        """:returns: whether it had been answered before one of its crashes"""
        return any(
            involvement.was_answered
            for involvement in self._table.find(fingerprint).values()
        )


def _time_of(crash: Crash) -> float:
    return crash.at_ms


__all__ = ("CrashVerdicts", "Verdict")
