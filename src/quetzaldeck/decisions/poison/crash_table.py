"""Crashes by request and by upstream, within bounds of number and age."""

from __future__ import annotations

import itertools
from collections import OrderedDict
from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.crash import Crash
from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.recent_times import RecentTimes

if TYPE_CHECKING:
    from collections.abc import Iterator, Mapping

    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.crash import Involvement

MAX_COMPARED = 100
"""Entries that are compared to choose which one to drop."""


class CrashTable:
    """Stores which requests ran in which crashes; the oldest are dropped first.

    :param bounds: limits of number and age
    """

    def __init__(self, bounds: PoisonBounds) -> None:
        self._bounds = bounds
        self._by_request: OrderedDict[int, dict[Crash, Involvement]] = OrderedDict()
        self._by_upstream: dict[str, list[Crash]] = {}
        self._crashes: OrderedDict[Crash, None] = OrderedDict()
        self._cleared: RecentTimes[int] = RecentTimes(bounds.max_fingerprints)
        self._lived_parts: RecentTimes[int] = RecentTimes(bounds.max_lived_parts)
        self._changed: set[int] = set()

    def __len__(self) -> int:
        return len(self._by_request)

    def __iter__(self) -> Iterator[int]:
        return iter(self._by_request)

    def __contains__(self, fingerprint: int) -> bool:
        return fingerprint in self._by_request

    @property
    def crashes(self) -> Iterator[Crash]:
        """:returns: all crashes, in the order in which they were noted"""
        return iter(self._crashes)

    @property
    def cleared(self) -> RecentTimes[int]:
        """:returns: when upstreams last answered requests that ran in crashes"""
        return self._cleared

    @property
    def lived_parts(self) -> RecentTimes[int]:
        """:returns: when upstreams last began answers on parts that they survived"""
        return self._lived_parts

    def pop_changed(self) -> list[int]:
        """:returns: requests with new crashes since the last call"""
        changed = sorted(self._changed)
        self._changed.clear()
        return changed

    def find(self, fingerprint: int) -> Mapping[Crash, Involvement]:
        """:returns: the crashes in which a request ran"""
        return self._by_request.get(fingerprint, {})

    def n_counted(self, fingerprint: int) -> int:
        """:returns: number of crashes in which a request ran, of those that count"""
        return sum(crash.counts for crash in self.find(fingerprint))

    def list_of(self, upstream: str) -> tuple[Crash, ...]:
        """:returns: crashes of an upstream"""
        return tuple(self._by_upstream.get(upstream, ()))

    def open(
        self, upstream: str, incarnation: str, at_ms: float, *, is_proven: bool
    ) -> Crash:
        """:returns: the crash of an upstream at a point in time, a new one if needed

        An upstream that is presumed crashed can't crash again until it has been heard.
        """
        for crash in self._by_upstream.get(upstream, ()):
            is_open = crash.is_presumed and at_ms >= crash.at_ms
            if not is_open and abs(crash.at_ms - at_ms) > self._bounds.same_crash_ms:
                continue
            if not self._is_next_incarnation(crash, incarnation, at_ms):
                return crash
        crash = Crash(upstream, incarnation, at_ms, counts=is_proven)
        self._crashes[crash] = None
        self._by_upstream.setdefault(upstream, []).append(crash)
        while len(self._crashes) > self._bounds.max_crashes_held:
            self.drop(self._find_least_useful())
        return crash

    def _is_next_incarnation(
        self, crash: Crash, incarnation: str, at_ms: float
    ) -> bool:
        """:returns: whether an incarnation started after the one that crashed

        Incarnations that are no start times have no order. A sighting that names an
        earlier one may rest on an older report.
        """
        if not (crash.incarnation.isdecimal() and incarnation.isdecimal()):
            return False
        is_later = at_ms - crash.at_ms >= self._bounds.min_restart_ms
        return is_later and int(incarnation) > int(crash.incarnation)

    def add(self, fingerprint: int, crash: Crash, involvement: Involvement) -> None:
        """Record that a request ran in a crash.

        A crash from before the request was cleared, of which another VM may tell late,
        does not make it a suspect again. Nor does one that had happened when the
        request was sent: something on the way may accept connections and reset them.
        While nothing is proven, the first connection may have been cut.
        """
        if involvement.seen_ms <= self._cleared.find(fingerprint):
            return
        if is_part(fingerprint):
            lived_ms = self._lived_parts.find(fingerprint)
            if involvement.seen_ms <= lived_ms:
                return
            if self._is_recent(lived_ms, involvement):
                involvement = involvement._replace(was_answered=True)
        if crash.counts and involvement.began_after(crash.at_ms):
            return
        self._changed.add(fingerprint)
        known = self._by_request.setdefault(fingerprint, {})
        before = known.get(crash)
        known[crash] = involvement if before is None else before.merge(involvement)
        crash.fingerprints.add(fingerprint)
        self._by_request.move_to_end(fingerprint)
        while len(self._by_request) > self._bounds.max_fingerprints:
            self.forget(self._find_least_known())

    def _is_recent(self, answered_ms: float, involvement: Involvement) -> bool:
        """:returns: whether an answer came shortly before a run that ended so"""
        return involvement.seen_ms - answered_ms <= self._bounds.answered_ms

    def prove(self, crash: Crash, *, is_presumed: bool = False) -> bool:
        """Let a crash count.

        :returns: whether it is news
        """
        if crash.counts and (is_presumed or not crash.is_presumed):
            return False
        crash.counts = True
        crash.is_presumed = is_presumed
        if is_presumed:
            for fingerprint in tuple(crash.fingerprints):
                if self._by_request[fingerprint][crash].began_after(crash.at_ms):
                    self.discard(fingerprint, crash)
        self._changed |= crash.fingerprints
        return True

    def clear(self, fingerprint: int, cleared_ms: float) -> None:
        """Forget the crashes of a request from before it was answered.

        Crashes that came a moment later are known of a part that had been answered.
        """
        for crash, involvement in tuple(self.find(fingerprint).items()):
            if involvement.seen_ms <= cleared_ms:
                self.discard(fingerprint, crash)
            elif is_part(fingerprint) and self._is_recent(cleared_ms, involvement):
                known = self._by_request[fingerprint]
                known[crash] = involvement._replace(was_answered=True)
        self._cleared.note(fingerprint, cleared_ms)
        if is_part(fingerprint):
            self._lived_parts.note(fingerprint, cleared_ms)

    def discard(self, fingerprint: int, crash: Crash) -> None:
        """Record that a request did not run in a crash, or does not count in it."""
        known = self._by_request[fingerprint]
        del known[crash]
        if not known:
            del self._by_request[fingerprint]
        crash.fingerprints.discard(fingerprint)

    def forget(self, fingerprint: int) -> None:
        """Forget all crashes of a request."""
        for crash in tuple(self.find(fingerprint)):
            self.discard(fingerprint, crash)

    def refute(self, crash: Crash, measured_ms: float) -> None:
        """Record that the upstream of a crash lived at a point in time.

        What is known of the time after it stays, as the start of another crash.
        """
        later_ms = []
        for fingerprint in tuple(crash.fingerprints):
            seen_ms = self._by_request[fingerprint][crash].seen_ms
            if seen_ms > measured_ms:
                later_ms.append(seen_ms)
            else:
                self.discard(fingerprint, crash)
        if not later_ms:
            self.drop(crash)
            return
        crash.at_ms = min(later_ms)
        crash.counts = crash.is_presumed = False

    def drop(self, crash: Crash) -> None:
        """Forget a crash."""
        for fingerprint in tuple(crash.fingerprints):
            self.discard(fingerprint, crash)
        del self._crashes[crash]
        siblings = self._by_upstream[crash.upstream]
        siblings.remove(crash)
        if not siblings:
            del self._by_upstream[crash.upstream]

    def expire(self, now_ms: float) -> None:
        """Forget old crashes, and connections for which no proof has come."""
        for crash in tuple(self._crashes):
            ttl_ms = (
                self._bounds.forget_ms if crash.counts else self._bounds.unproven_ms
            )
            if now_ms - crash.at_ms > ttl_ms:
                self.drop(crash)

    def _find_least_known(self) -> int:
        """:returns: an old request or part that was in one crash, or the oldest one

        Prompts whose parts are all new do not push out what is known of others.
        """
        oldest = itertools.islice(self._by_request, MAX_COMPARED)
        in_one_crash = (f for f in oldest if len(self._by_request[f]) == 1)
        return next(in_one_crash, next(iter(self._by_request)))

    def _find_least_useful(self) -> Crash:
        """:returns: the oldest unproven crash, or the oldest one"""
        unproven = (crash for crash in self._crashes if not crash.counts)
        return next(unproven, next(iter(self._crashes)))


__all__ = ("CrashTable",)
