"""Verdicts on parts of prompts by the crashes in which they ran.

Failure scenario: an upstream crashes whenever it begins to answer a prompt that
contains a certain part. No two of these prompts are alike, so none is in more than a
few crashes.

Sound prompts contain the other parts and show that these do no harm: an upstream that
goes on writing an answer clears all parts of its prompt of what happened before. So a
crash counts against those of its parts that were in the most crashes, and one that was
answered a moment before counts only if no other part explains the crashes.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.verdict import Verdict

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Mapping

    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.crash import Crash, Involvement
    from quetzaldeck.decisions.poison.crash_limit import CrashLimit
    from quetzaldeck.decisions.poison.crash_table import CrashTable


class PartVerdicts:
    """Judges parts of prompts.

    :param bounds: thresholds
    :param table: all crashes
    :param limit: knows whether other upstreams crash as often
    """

    def __init__(
        self, bounds: PoisonBounds, table: CrashTable, limit: CrashLimit
    ) -> None:
        self._bounds = bounds
        self._table = table
        self._limit = limit

    def find(self, part: int, now_ms: float) -> Verdict:
        """:returns: whether prompts with a part run normally, alone, or not at all"""
        own = self._table.find(part)
        is_trusted = _is_trusted(own)
        if not own or (is_trusted and len(own) < self._bounds.n_crashes):
            return Verdict.CLEAR
        counted = self._list_counted(part, now_ms)
        n_crashes = _count_successive(counted.values())
        if n_crashes >= self.find_limit(part, counted):
            return Verdict.REFUSED
        if is_trusted:
            is_suspect = n_crashes >= self._bounds.n_crashes
        else:
            is_suspect = bool(counted) or self._is_in_doubt(own, now_ms)
        return Verdict.SUSPECT if is_suspect else Verdict.CLEAR

    def is_doubted(self, part: int) -> bool:
        """:returns: whether a part ran in a crash, and in no answer since or before"""
        own = self._table.find(part)
        return bool(own) and not _is_trusted(own)

    def n_crashes(self, part: int, now_ms: float) -> int:
        """:returns: crashes one after the other that count against a part"""
        return _count_successive(self._list_counted(part, now_ms).values())

    def find_limit(self, part: int, counted: dict[Crash, Involvement]) -> int:
        """:returns: number of crashes one after the other at which a part is refused"""
        if len(counted) < self._bounds.n_part_crashes:
            return self._bounds.n_part_crashes
        may_be_chance = self._limit.is_wave(counted, len(counted))
        if may_be_chance or _is_trusted(self._table.find(part)):
            return self._bounds.max_part_crashes
        return self._bounds.n_part_crashes

    def explains(self, part: int, fingerprints: Collection[int], now_ms: float) -> bool:
        """Check whether a refused part rules out a request that contains it.

        Of several parts, or requests, that were in all the same crashes, each may be to
        blame. A request that lacks one of them may run, alone, and shows which it is.

        :param fingerprints: the request and all its parts
        """
        counted = self._list_counted(part, now_ms)
        if not counted:
            return False
        common = set.intersection(*(crash.fingerprints for crash in counted))
        return all(
            other in fingerprints or _is_trusted(self._table.find(other))
            for other in common
        )

    def list_counted_ms(self, part: int, now_ms: float) -> list[float]:
        """:returns: when the crashes that count against a part were seen, in order"""
        counted = self._list_counted(part, now_ms).values()
        return sorted(involvement.seen_ms for involvement in counted)

    def _list_counted(self, part: int, now_ms: float) -> dict[Crash, Involvement]:
        own = self._table.find(part)
        is_trusted = _is_trusted(own)
        ttl_ms = self._bounds.answered_ms if is_trusted else self._bounds.forget_ms
        n_own = self._table.n_counted(part)
        return {
            crash: involvement
            for crash, involvement in own.items()
            if crash.counts
            and involvement.seen_ms >= now_ms - ttl_ms
            and n_own >= self._highest_count(crash, part) + is_trusted
        }

    def _highest_count(self, crash: Crash, part: int) -> int:
        """:returns: most crashes that another part of ``crash`` was in"""
        return max(
            (
                self._table.n_counted(other)
                for other in crash.fingerprints
                if other != part
                and is_part(other)
                and not _is_trusted(self._table.find(other))
            ),
            default=0,
        )

    def _is_in_doubt(self, own: Mapping[Crash, Involvement], now_ms: float) -> bool:
        """:returns: whether a part ran in what may have been a crash"""
        oldest_ms = now_ms - self._bounds.unproven_ms
        return any(
            not crash.counts and involvement.seen_ms >= oldest_ms
            for crash, involvement in own.items()
        )


def _count_successive(involvements: Iterable[Involvement]) -> int:
    """Count crashes of which each run was sent after the crash before.

    One cause may end all upstreams at once, and with them all runs of a part.
    """
    n_crashes = 0
    last_ms = -math.inf
    for involvement in sorted(involvements, key=_seen_ms_of):
        if involvement.sent_ms > last_ms:
            n_crashes += 1
            last_ms = involvement.seen_ms
    return n_crashes


def _is_trusted(own: Mapping[Crash, Involvement]) -> bool:
    """:returns: whether a part had been answered a moment before it ran in a crash"""
    return any(involvement.was_answered for involvement in own.values())


def _seen_ms_of(involvement: Involvement) -> float:
    return involvement.seen_ms


__all__ = ("PartVerdicts",)
