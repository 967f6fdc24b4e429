"""Identifies requests that crash upstreams, and clears those that only ran alongside.

Failure scenario: one request crashes each upstream that runs it, and its caller retries
it, each time through whichever VM the load balancer picks. Without this module the
request crashes an upstream every few seconds, and all requests running there fail,
until no upstream of the pool is left.

A crash makes suspects of all requests that were running on the upstream. Suspects are
isolated: an upstream runs at most one of them, and a VM runs only one copy of a suspect
at a time. The next crash then separates the culprit from the bystanders, because a
crash counts only against those of its requests that were in the most crashes. One
complete answer clears a request. A request is refused once ``n_crashes`` crashes count
against it, or more where they may be coincidence, see :class:`CrashLimit`.

An attempt that is given up before its connection breaks, because its caller leaves or
its deadline passes, leaves an open run behind; see :mod:`.open_runs`.

A broken connection alone proves no crash: a network device may have cut it, or the
upstream lost one answer. Where ``needs_proof`` is set, it makes a suspect, but counts
only once it is proven that the upstream has ended, or presumed, since the upstream does
not answer a check; see :mod:`.upstream_ends`.

Guarantee: if the VMs share their sightings, a request that is resent over and over
crashes at most ``n_crashes`` upstreams over all VMs. Copies that run through ``c`` VMs
at the same time, or before the updates arrive, can each crash one more, at most
``n_crashes - 1 + c`` in total. While other upstreams crash without it as well,
``max_crashes`` takes the place of ``n_crashes``. While VMs cannot exchange updates,
each enforces the limit by itself.
"""

from __future__ import annotations

import math
from collections import Counter
from enum import StrEnum
from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.blocked_request import BlockedRequest
from quetzaldeck.decisions.poison.bounds import PoisonBounds
from quetzaldeck.decisions.poison.crash import Involvement
from quetzaldeck.decisions.poison.crash_limit import CrashLimit
from quetzaldeck.decisions.poison.crash_table import CrashTable
from quetzaldeck.decisions.poison.open_runs import OpenRun, OpenRuns
from quetzaldeck.decisions.poison.recent_times import RecentTimes
from quetzaldeck.decisions.poison.sighting import CrashSighting, RunState
from quetzaldeck.decisions.poison.upstream_ends import UpstreamEnds

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterable, Iterator

    from quetzaldeck.decisions.poison.crash import Crash

CLEARANCE_REPEAT_MS = 10_000.0
"""How long a clearance is repeated to VMs that may have missed it."""

N_PAUSES = 64
"""Number of different pauses of suspects."""

MAX_SAMPLED = 200
"""Requests that are judged at a time to choose those to tell of."""


class Verdict(StrEnum):
    """How a request is treated, by the crashes that count against it."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class PoisonRegistry:
    """Judges requests by the crashes in which they ran.

    :param bounds: thresholds
    :param count_upstreams: returns how many upstreams there are that may crash
    """

    def __init__(
        self,
        bounds: PoisonBounds | None = None,
        *,
        count_upstreams: Callable[[], int] = lambda: 1,
    ) -> None:
        self._bounds = bounds or PoisonBounds()
        self._table = CrashTable(self._bounds)
        self._limit = CrashLimit(self._bounds, self._table, count_upstreams)
        self._runs = OpenRuns(self._bounds)
        self._answered: RecentTimes[int] = RecentTimes(self._bounds.max_answered)
        self._unannounced: set[int] = set()
        self._ends = UpstreamEnds(
            self._bounds, self._table, self._runs, self._unannounced
        )

    def __len__(self) -> int:
        return len(self._table)

    @property
    def bounds(self) -> PoisonBounds:
        """:returns: thresholds"""
        return self._bounds

    @property
    def ends(self) -> UpstreamEnds:
        """:returns: the receiver of evidence that upstreams have ended, or live"""
        return self._ends

    def n_crashes(self, fingerprint: int, now_ms: float) -> int:
        """:returns: crashes that count against a request

        A crash does not count against a request while another request of that crash
        was in more crashes; it counts again once the other one is cleared.
        """
        oldest_ms = now_ms - self._bounds.forget_ms
        return sum(
            involvement.seen_ms >= oldest_ms
            and crash.is_proven
            and self._n_proven(fingerprint) >= self._highest_crash_count(crash)
            for crash, involvement in self._table.find(fingerprint).items()
        )

    def verdict(self, fingerprint: int, now_ms: float) -> Verdict:
        """:returns: whether a request runs normally, isolated, or not at all"""
        if fingerprint not in self._table:
            return Verdict.CLEAR
        n_crashes = self.n_crashes(fingerprint, now_ms)
        if n_crashes >= self._find_limit(fingerprint, n_crashes):
            return Verdict.REFUSED
        is_suspect = n_crashes or self._is_in_doubt(fingerprint, now_ms)
        return Verdict.SUSPECT if is_suspect else Verdict.CLEAR

    def count_verdicts(self, now_ms: float) -> Counter[Verdict]:
        """:returns: number of requests that were in a crash, by verdict"""
        return Counter(self.list_verdicts(now_ms).values())

    def list_verdicts(self, now_ms: float) -> dict[int, Verdict]:
        """:returns: verdicts on the requests that were in a crash, by fingerprint"""
        return {item: self.verdict(item, now_ms) for item in self._table}

    def list_crashed(self, fingerprint: int) -> list[str]:
        """:returns: upstreams that crashed while they ran a request, in that order"""
        proven = [crash for crash in self._table.find(fingerprint) if crash.is_proven]
        return [crash.upstream for crash in sorted(proven, key=_time_of)]

    def pop_newly_refused(self, now_ms: float) -> list[int]:
        """:returns: refused requests with new sightings since the last call"""
        changed = self._table.pop_changed()
        return [f for f in changed if self.verdict(f, now_ms) is Verdict.REFUSED]

    def pause_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: pause before a suspect runs; 0 for any other request

        The pause starts at the last known crash. Without it, a copy that arrives at
        this VM while another VM runs one could crash an upstream before this VM learns
        of the other crash. All VMs draw the same pause for a request.
        """
        if self.verdict(fingerprint, now_ms) is not Verdict.SUSPECT:
            return 0.0
        involvements = self._table.find(fingerprint).items()
        proven_ms = [item.seen_ms for crash, item in involvements if crash.is_proven]
        if not proven_ms:
            return 0.0
        shortest_ms = self._bounds.min_propagation_ms
        range_ms = self._bounds.propagation_ms - shortest_ms
        pause_ms = shortest_ms + range_ms * (fingerprint % N_PAUSES) / (N_PAUSES - 1)
        return max(0.0, max(proven_ms) + pause_ms - now_ms)

    def find_blocked(self, fingerprint: int, now_ms: float) -> BlockedRequest | None:
        """:returns: a request that is refused, and why; ``None`` if it is not"""
        if self.verdict(fingerprint, now_ms) is not Verdict.REFUSED:
            return None
        limit = self._find_limit(fingerprint, self.n_crashes(fingerprint, now_ms))
        own = self._table.find(fingerprint).items()
        counted = [(item.seen_ms, crash) for crash, item in own if crash.is_proven]
        seen_ms = sorted(at_ms for at_ms, _ in counted)
        presumed_ms = [at_ms for at_ms, crash in counted if crash.is_presumed]
        until_ms = seen_ms[-limit] + self._bounds.forget_ms
        if len(counted) - len(presumed_ms) < limit:
            judged_ms = max(presumed_ms) + self._bounds.presumed_ms
            until_ms = judged_ms if judged_ms > now_ms else until_ms
        return BlockedRequest(
            fingerprint, tuple(self.list_crashed(fingerprint)), seen_ms[0], until_ms
        )

    def note_crash(
        self,
        fingerprint: int,
        upstream: str,
        incarnation: str,
        now_ms: float,
        *,
        run_ms: float | None = None,
        is_proven: bool = True,
    ) -> None:
        """Record a request that was running on an upstream when its connection broke.

        :param run_ms: how long it had run; ``None``: unknown
        :param is_proven: whether a broken connection is taken as proof of a crash
        """
        self._table.expire(now_ms)
        crash = self._table.open(upstream, incarnation, now_ms, is_proven=is_proven)
        was_answered = self._was_answered(fingerprint, now_ms)
        self._table.add(fingerprint, crash, Involvement(now_ms, run_ms, was_answered))
        if is_proven:
            self._ends.prove(crash)
        if crash.is_certain:
            self._unannounced.add(fingerprint)

    def note_left(
        self,
        fingerprint: int,
        upstream: str,
        incarnation: str,
        sent_ms: float,
        now_ms: float,
    ) -> None:
        """Record a request that an upstream may run though nobody waits for it."""
        until_ms = now_ms + self._bounds.linger_ms
        was_answered = self._was_answered(fingerprint, now_ms)
        run = OpenRun(
            fingerprint, upstream, incarnation, sent_ms, until_ms, was_answered
        )
        self._open_run(run, now_ms)

    def note_started(
        self,
        fingerprint: int,
        upstream: str,
        incarnation: str,
        deadline_ms: float,
        now_ms: float,
    ) -> None:
        """Record that this VM sends a suspect to an upstream, and announce it."""
        was_answered = self._was_answered(fingerprint, now_ms)
        run = OpenRun(
            fingerprint,
            upstream,
            incarnation,
            now_ms,
            deadline_ms,
            was_answered,
            is_awaited=True,
        )
        self._open_run(run, now_ms)

    def note_stopped(self, fingerprint: int, upstream: str, now_ms: float) -> None:
        """Record that an upstream does not run a request of this VM any longer."""
        run = self._runs.discard(fingerprint, upstream)
        if run is not None:
            self._ends.announce_run(run, RunState.CLOSED, now_ms)

    def is_held(self, fingerprint: int, now_ms: float) -> bool:
        """:returns: whether a suspect has to wait for the outcome of another run"""
        runs = self._runs.find(fingerprint)
        return any(run.until_ms + self._bounds.settle_ms > now_ms for run in runs)

    def runs_suspect(self, upstream: str, now_ms: float) -> bool:
        """:returns: whether an upstream runs a suspect, of this VM or another one"""
        return any(
            run.until_ms > now_ms
            and self.verdict(run.fingerprint, now_ms) is not Verdict.CLEAR
            for run in self._runs.list_of(upstream)
        )

    def _open_run(self, run: OpenRun, now_ms: float) -> None:
        self._runs.expire(now_ms)
        self._runs.note(run)
        if self.verdict(run.fingerprint, now_ms) is not Verdict.CLEAR:
            self._ends.announce_run(run, RunState.OPEN, now_ms)

    def find_due_check_ms(self, upstream: str) -> float | None:
        """:returns: when the first open run of this VM on an upstream ends

        Whether the upstream has survived it can be found out from then on. ``None``:
        there is none.
        """
        own = [
            run.until_ms
            for run in self._runs.list_of(upstream)
            if run.is_own and not run.is_awaited
        ]
        return min(own, default=None)

    def note_answered(self, fingerprint: int, now_ms: float) -> bool:
        """Clear a request that an upstream answered.

        :returns: whether it was a suspect
        """
        self._answered.note(fingerprint, now_ms)
        self._runs.forget(fingerprint)
        if fingerprint not in self._table:
            return False
        self._unannounced.add(fingerprint)
        self._table.clear(fingerprint, now_ms)
        return True

    def pop_changed_sightings(self, now_ms: float) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings of the requests that this VM has to announce, by request

        These are the requests whose crash or answer it saw since the last call.
        """
        unannounced = sorted(self._unannounced)
        self._unannounced.clear()
        by_request = [tuple(self._list_sightings(item, now_ms)) for item in unannounced]
        return [sightings for sightings in by_request if sightings]

    def list_state(
        self, max_sightings: int, now_ms: float, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """List what a VM has to know that missed the announcements.

        Refused requests come first, in random order, then other suspects and requests
        that were cleared a moment ago.

        :param max_sightings: maximum number; all sightings of a request, or none
        """
        listed = [f for f in self._table if self._n_proven(f)]
        listed += self._table.cleared.list_since(now_ms - CLEARANCE_REPEAT_MS)
        listed = random_state.sample(listed, min(len(listed), MAX_SAMPLED))
        listed.sort(key=lambda f: self.verdict(f, now_ms) is not Verdict.REFUSED)
        sightings: list[CrashSighting] = []
        for fingerprint in dict.fromkeys(listed):
            of_request = list(self._list_sightings(fingerprint, now_ms))
            if len(sightings) + len(of_request) <= max_sightings:
                sightings += of_request
        return sightings

    def _list_sightings(
        self, fingerprint: int, now_ms: float
    ) -> Iterator[CrashSighting]:
        for crash, involvement in self._table.find(fingerprint).items():
            if crash.is_certain:
                yield CrashSighting(
                    fingerprint,
                    crash.upstream,
                    crash.incarnation,
                    now_ms - involvement.seen_ms,
                    involvement.run_ms,
                    involvement.was_answered,
                )
        cleared_ms = self._table.cleared.find(fingerprint)
        if math.isfinite(cleared_ms):
            yield CrashSighting(fingerprint, "", "", now_ms - cleared_ms)

    def observe(self, sightings: Iterable[CrashSighting], now_ms: float) -> None:
        """Merge sightings of other VMs, which may be late, repeated or known."""
        for sighting in sightings:
            seen_ms = now_ms - sighting.age_ms
            if sighting.age_ms > self._bounds.forget_ms:
                continue
            if sighting.upstream:
                crash = self._table.open(
                    sighting.upstream, sighting.incarnation, seen_ms, is_proven=True
                )
                involvement = Involvement(
                    seen_ms, sighting.run_ms, sighting.was_answered
                )
                self._table.add(sighting.fingerprint, crash, involvement)
                self._ends.prove(crash)
            else:
                self._table.clear(sighting.fingerprint, seen_ms)

    def _was_answered(self, fingerprint: int, now_ms: float) -> bool:
        answered_ms = self._answered.find(fingerprint)
        return answered_ms >= now_ms - self._bounds.answered_ms

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

    def _n_proven(self, fingerprint: int) -> int:
        return sum(crash.is_proven for crash in self._table.find(fingerprint))

    def _find_limit(self, fingerprint: int, n_crashes: int) -> int:
        limit = self._limit.find(fingerprint, n_crashes)
        if n_crashes >= limit and self._is_tied(fingerprint):
            return self._bounds.max_crashes
        return limit

    def _is_tied(self, fingerprint: int) -> bool:
        """:returns: whether another request may be to blame for all its crashes

        One that had been answered before it ran in them is less likely to be.
        """
        crashes = [c for c in self._table.find(fingerprint) if c.is_proven]
        others = set.intersection(*(crash.fingerprints for crash in crashes))
        return any(
            not any(item.was_answered for item in self._table.find(other).values())
            for other in others - {fingerprint}
        )

    def _highest_crash_count(self, crash: Crash) -> int:
        """:returns: most crashes that any one request of ``crash`` was in"""
        return max(self._n_proven(other) for other in crash.fingerprints)


def _time_of(crash: Crash) -> float:
    return crash.at_ms


__all__ = ("PoisonRegistry", "Verdict")
