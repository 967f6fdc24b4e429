"""Identifies what crashes upstreams, and clears what only ran alongside.

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

What is to blame may be a whole request that is sent again, or one part of prompts that
share nothing else. Each run is recorded under the fingerprint of the request and those
of its parts, and both are judged alike: see :mod:`.verdicts` and :mod:`.part_verdicts`.

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
from itertools import chain
from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.bounds import PoisonBounds
from quetzaldeck.decisions.poison.crash import Involvement
from quetzaldeck.decisions.poison.crash_table import CrashTable
from quetzaldeck.decisions.poison.explained import ExplainedSuspects
from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.open_runs import OpenRun, OpenRuns
from quetzaldeck.decisions.poison.recent_times import RecentTimes
from quetzaldeck.decisions.poison.sighting import CrashSighting, RunState
from quetzaldeck.decisions.poison.sighting_lists import SightingLists
from quetzaldeck.decisions.poison.upstream_ends import UpstreamEnds
from quetzaldeck.decisions.poison.verdict import Verdict
from quetzaldeck.decisions.poison.verdicts import CrashVerdicts

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection, Iterable, Sequence

    from quetzaldeck.decisions.poison.blocked_request import BlockedRequest


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
        self._verdicts = CrashVerdicts(self._bounds, self._table, count_upstreams)
        self._explained = ExplainedSuspects(self._bounds, self._verdicts)
        self._runs = OpenRuns(self._bounds)
        self._answered: RecentTimes[int] = RecentTimes(self._bounds.max_answered)
        self._unannounced: set[int] = set()
        self._announced_parts: RecentTimes[int] = RecentTimes(
            self._bounds.max_lived_parts
        )
        self._doubted_elsewhere: set[int] = set()
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
        """:returns: crashes that count against a request"""
        return self._verdicts.n_crashes(fingerprint, now_ms)

    def verdict(self, fingerprint: int, now_ms: float) -> Verdict:
        """:returns: whether a request runs normally, isolated, or not at all"""
        return self._verdicts.find(fingerprint, now_ms)

    def judge(self, fingerprints: Collection[int], now_ms: float) -> Verdict:
        """:returns: the verdict on a request, given it and all parts of its prompt"""
        if not any(fingerprint in self._table for fingerprint in fingerprints):
            return Verdict.CLEAR
        return self._verdicts.judge(fingerprints, now_ms)

    def list_suspects(
        self, fingerprints: Collection[int], now_ms: float
    ) -> tuple[int, ...]:
        """:returns: which of a request and the parts of its prompt are suspected"""
        return tuple(
            fingerprint
            for fingerprint in fingerprints
            if self.verdict(fingerprint, now_ms) is not Verdict.CLEAR
        )

    def count_doubted(self, parts: Collection[int], now_ms: float) -> int:
        """:returns: how many parts are suspected, or ran in crashes and in no answer

        While one part explains all crashes, others of them are not suspected. Either
        may be to blame.
        """
        return sum(
            self._verdicts.is_doubted(part)
            or self.verdict(part, now_ms) is not Verdict.CLEAR
            for part in parts
        )

    def list_rivals(self, fingerprint: int) -> set[int]:
        """:returns: other requests that ran in crashes of a request, if not cleared"""
        return self._verdicts.find_others(fingerprint)

    def select_recorded(self, fingerprints: Sequence[int]) -> tuple[int, ...]:
        """Choose what to record of a run whose prompt has very many parts.

        :param fingerprints: the request and all its parts
        :returns: the request, and the parts of which least is known; other ones of the
            next request
        """
        max_parts = self._bounds.max_parts
        if len(fingerprints) <= max_parts + 1:
            return tuple(fingerprints)
        request, *parts = fingerprints
        first = request % len(parts)
        rotated = parts[first:] + parts[:first]
        rotated.sort(key=self._table.lived_parts.find)
        return (request, *rotated[:max_parts])

    def pause_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: pause before a suspect runs; 0 for any other request, or part"""
        return self._verdicts.pause_ms(fingerprint, now_ms)

    def max_pause_ms(self, fingerprints: Collection[int], now_ms: float) -> float:
        """:returns: pause before a request runs, given it and its parts"""
        return max((self.pause_ms(item, now_ms) for item in fingerprints), default=0.0)

    def find_blocked(self, fingerprint: int, now_ms: float) -> BlockedRequest | None:
        """:returns: a request that is refused, and why; ``None`` if it is not"""
        return self._verdicts.find_blocked(fingerprint, now_ms)

    def find_blocked_by(
        self, fingerprints: Collection[int], now_ms: float
    ) -> BlockedRequest | None:
        """:returns: why a request is refused, given it and all parts of its prompt"""
        if not any(fingerprint in self._table for fingerprint in fingerprints):
            return None
        return self._verdicts.find_blocked_by(fingerprints, now_ms)

    def list_crashed(self, fingerprint: int) -> list[str]:
        """:returns: upstreams that crashed while they ran a request, in that order"""
        return self._verdicts.list_crashed(fingerprint)

    def count_verdicts(self, now_ms: float) -> Counter[Verdict]:
        """:returns: number of requests that were in a crash, by verdict"""
        verdicts = self.list_verdicts(now_ms).items()
        return Counter(verdict for item, verdict in verdicts if not is_part(item))

    def list_verdicts(self, now_ms: float) -> dict[int, Verdict]:
        """:returns: verdicts on the requests that were in a crash, by fingerprint"""
        return {item: self.verdict(item, now_ms) for item in self._table}

    def pop_newly_refused(self, now_ms: float) -> list[int]:
        """:returns: refused requests with new sightings since the last call"""
        changed = self._table.pop_changed()
        refused = [f for f in changed if self.verdict(f, now_ms) is Verdict.REFUSED]
        for other in {
            *changed,
            *chain.from_iterable(map(self._verdicts.find_others, refused)),
        }:
            # All VMs note it as they learn of the crash, not when they first ask.
            self._explained.find_since_ms(other, now_ms)
        return refused

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
        *,
        begun_ms: float | None = None,
    ) -> None:
        """Record a request that an upstream may run though nobody waits for it.

        :param begun_ms: when the upstream began to answer it; ``None``: not yet
        """
        until_ms = now_ms + self._bounds.linger_ms
        if is_part(fingerprint) and begun_ms is not None:
            # It has not gone on writing, so it has ended by then, if it has.
            until_ms = min(until_ms, begun_ms + self._bounds.lived_ms)
        was_answered = self._was_answered(fingerprint, now_ms)
        run = OpenRun(
            fingerprint, upstream, incarnation, sent_ms, until_ms, was_answered
        )
        self._open_run(run, now_ms)
        self._ends.note_open(run, now_ms)

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
        for run in self._runs.find_on(fingerprint, upstream):
            if run.is_own and run.is_awaited:
                self._runs.discard(run)
                self._ends.announce_run(run, RunState.CLOSED, now_ms)

    def is_held(self, fingerprint: int, now_ms: float) -> bool:
        """:returns: whether a suspect has to wait for the outcome of another run

        Not for that of a run on an upstream in whose presumed crash it is counted, nor
        of one that may have run beside a refused request which explains its crashes.
        """
        since_ms = self.find_explained_ms(fingerprint, now_ms)
        return any(
            self._runs.find_outcome_ms(run) > now_ms
            and (run.is_awaited or run.sent_ms >= since_ms)
            and not self._ends.is_counted(run.fingerprint, run.upstream)
            for run in self._runs.find(fingerprint)
        )

    def find_explained_ms(self, fingerprint: int, now_ms: float) -> float:
        """Find since when a suspect is held by its runs; see `ExplainedSuspects`."""
        return self._explained.find_since_ms(fingerprint, now_ms)

    def runs_suspect(self, upstream: str, now_ms: float) -> bool:
        """:returns: whether an upstream runs a suspect, of this VM or another one"""
        return any(
            run.until_ms > now_ms
            and self.verdict(run.fingerprint, now_ms) is not Verdict.CLEAR
            for run in self._runs.list_of(upstream)
        )

    def has_open_run(self, upstream: str, now_ms: float) -> bool:
        """Check whether it is open if an upstream has survived what was left there."""
        return any(
            not run.is_awaited and self._runs.find_outcome_ms(run) > now_ms
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
        for run in tuple(self._runs.find(fingerprint)):
            if run.is_own and run.is_awaited:
                # Other VMs would wait for it until its deadline.
                self._ends.announce_run(run, RunState.CLOSED, now_ms)
        self._runs.forget(fingerprint)
        self._explained.forget(fingerprint)
        if fingerprint not in self._table:
            return False
        self._unannounced.add(fingerprint)
        self._table.clear(fingerprint, now_ms)
        return True

    def note_lived(
        self, parts: Collection[int], begun_ms: float, now_ms: float
    ) -> None:
        """Clear parts of a prompt: an upstream has survived that it wrote on them.

        :param begun_ms: when it began; what crashed later is not cleared
        """
        for part in parts:
            is_known = part in self._table
            if is_known and (
                self._announced_parts.find(part) > -math.inf
                or part in self._doubted_elsewhere
                or self.verdict(part, now_ms) is not Verdict.CLEAR
            ):
                self._unannounced.add(part)
            self._runs.forget(part)
            self._doubted_elsewhere.discard(part)
            if is_known:
                self._table.clear(part, begun_ms)
            else:
                self._table.lived_parts.note(part, begun_ms)

    def pop_changed_sightings(self, now_ms: float) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings of the requests that this VM has to announce, by request

        These are the requests whose crash or answer it saw since the last call.
        """
        unannounced = sorted(self._unannounced)
        self._unannounced.clear()
        for fingerprint in filter(is_part, unannounced):
            self._announced_parts.note(fingerprint, now_ms)
        lists = SightingLists(self._table, self.verdict)
        by_request = [tuple(lists.list_all(item, now_ms)) for item in unannounced]
        return [sightings for sightings in by_request if sightings]

    def list_state(
        self, max_sightings: int, now_ms: float, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """List what a VM has to know that missed the announcements.

        Refused requests come first, in random order, then other suspects and requests
        that were cleared a moment ago.

        :param max_sightings: maximum number; all sightings of a request, or none, but
            the latest ones of a request that was in more crashes than that
        """
        lists = SightingLists(self._table, self.verdict)
        return lists.list_state(max_sightings, now_ms, random_state=random_state)

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
                self._note_doubted(sighting)
            else:
                self._doubted_elsewhere.discard(sighting.fingerprint)
                self._explained.forget(sighting.fingerprint)
                self._table.clear(sighting.fingerprint, seen_ms)

    def _note_doubted(self, sighting: CrashSighting) -> None:
        """Note that a VM has seen no answer on a part that others have answered.

        It may have started a moment ago. Without being told, it would take a part that
        most prompts share for the one that several bad ones have in common.
        """
        part = sighting.fingerprint
        if sighting.was_answered or self._table.lived_parts.find(part) == -math.inf:
            return
        if len(self._doubted_elsewhere) >= self._bounds.max_lived_parts:
            self._doubted_elsewhere.clear()
        self._doubted_elsewhere.add(part)

    def _was_answered(self, fingerprint: int, now_ms: float) -> bool:
        answered_ms = self._answered.find(fingerprint)
        return answered_ms >= now_ms - self._bounds.answered_ms


__all__ = ("PoisonRegistry", "Verdict")
