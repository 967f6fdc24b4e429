"""Evidence that upstreams have ended or live, and what it means for requests.

Failure scenario: the host of an upstream is lost, or a device on the way resets the
connections to it. Nothing shows that it has ended until its entry expires after some
seconds, and a request that ended it would end others until then.

An upstream that does not answer a check is presumed to have crashed. Its crash counts
for the time being, and all VMs are told. It is proven if the upstream is shown to have
ended, and dropped if it is shown to live: a cut connection is no crash.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.poison.crash import Involvement
from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.open_runs import OpenRun
from quetzaldeck.decisions.poison.recent_times import RecentTimes
from quetzaldeck.decisions.poison.sighting import RunSighting, RunState

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.crash import Crash
    from quetzaldeck.decisions.poison.crash_table import CrashTable
    from quetzaldeck.decisions.poison.open_runs import OpenRuns


class PresumedCrash(NamedTuple):
    """An upstream that does not answer checks.

    :param at_ms: when the first run that it may have crashed in ended
    """

    upstream: str
    incarnation: str
    at_ms: float


class UpstreamEnds:
    """Applies evidence to crashes that are not proven, and to open runs.

    :param table: all crashes
    :param runs: all open runs
    :param unannounced: receives the requests whose crashes are to be announced
    """

    def __init__(
        self,
        bounds: PoisonBounds,
        table: CrashTable,
        runs: OpenRuns,
        unannounced: set[int],
    ) -> None:
        self._bounds = bounds
        self._table = table
        self._runs = runs
        self._unannounced = unannounced
        self._survived: RecentTimes[str] = RecentTimes(bounds.max_crashes_held)
        self._ended: RecentTimes[tuple[str, str]] = RecentTimes(bounds.max_crashes_held)
        self._closed: RecentTimes[tuple[int, str]] = RecentTimes(bounds.max_answered)
        self._changed: dict[tuple[int, str], RunSighting] = {}
        self._unconfirmed: dict[tuple[int, str], tuple[OpenRun, float]] = {}

    def note_ended(self, upstream: str, at_ms: float, incarnation: str = "") -> None:
        """Record proof that an upstream has crashed.

        :param at_ms: when connections broke as it crashed; those that had broken well
            before did so for another reason
        :param incarnation: the incarnation that ended; ``""`` if it is not known
        """
        self._ended.note((upstream, incarnation), at_ms)
        for crash in self._table.list_of(upstream):
            if crash.at_ms >= at_ms - self._bounds.same_crash_ms:
                self.prove(crash)
        self._close_runs(upstream, incarnation, at_ms)

    def prove(self, crash: Crash) -> None:
        """Let a crash count, and count it against the open runs on its upstream."""
        if self._table.prove(crash):
            self._unannounced |= crash.fingerprints
        self._close_runs(crash.upstream, crash.incarnation, crash.at_ms)

    def note_survived(self, upstream: str, measured_ms: float) -> None:
        """Drop what is not proven: the upstream was alive at a later point in time."""
        self._survived.note(upstream, measured_ms)
        self._runs.pop_ended(upstream, measured_ms)
        for crash in self._table.list_of(upstream):
            if not crash.is_certain and crash.at_ms <= measured_ms:
                if crash.is_presumed:
                    self._announce(crash, RunState.SURVIVED, measured_ms)
                self._table.refute(crash, measured_ms)

    def note_alive(self, upstream: str, incarnation: str, measured_ms: float) -> None:
        """Drop sightings that a later report of the same incarnation refutes.

        A connection that a network device cut looks like a crash of the upstream. A
        report that the same incarnation measured after that moment proves that it did
        not crash.
        """
        refuted_before_ms = measured_ms - self._bounds.alive_margin_ms
        self._runs.pop_ended(upstream, refuted_before_ms)
        for crash in self._table.list_of(upstream):
            if crash.incarnation != incarnation:
                continue
            for fingerprint in tuple(crash.fingerprints):
                if self._table.find(fingerprint)[crash].seen_ms < refuted_before_ms:
                    self._table.discard(fingerprint, crash)

    def note_missing(self, upstream: str, checked_ms: float) -> None:
        """Presume that an upstream has crashed, as it does not answer a check.

        :param checked_ms: when the check began
        """
        has_broken = any(
            crash.at_ms <= checked_ms and not crash.is_certain
            for crash in self._table.list_of(upstream)
        )
        if has_broken or self._runs.list_ended(upstream, checked_ms):
            self._presume_runs(upstream, checked_ms)
        for crash in self._table.list_of(upstream):
            if crash.at_ms > checked_ms:
                continue
            self._table.prove(crash, is_presumed=True)
            if crash.is_presumed:
                self._announce(crash, RunState.MISSING, checked_ms)

    def _presume_runs(self, upstream: str, checked_ms: float) -> None:
        """Count the crash of an upstream against all that it ran until a check.

        Also against what might have run for longer: a request that is sent over and
        over always has a copy that might, and its neighbours would take the blame.
        """
        for run in self._runs.pop_sent(upstream, checked_ms):
            if self._add(run, min(run.until_ms, checked_ms)).is_certain:
                self._unannounced.add(run.fingerprint)

    def note_open(self, run: OpenRun, now_ms: float) -> None:
        """Count a run that is left on an upstream which is presumed to have crashed."""
        for crash in self._table.list_of(run.upstream):
            if crash.is_presumed and run.sent_ms <= crash.at_ms:
                self._runs.discard(run)
                self._add(run, min(run.until_ms, now_ms))
                self._announce(crash, RunState.MISSING, now_ms)

    def advance(self, now_ms: float) -> None:
        """Count runs on upstreams that have ended, of VMs that do not tell of them.

        A VM that lives tells at once whether its request was on board, or never reached
        the upstream.
        """
        for key, (run, ended_ms) in tuple(self._unconfirmed.items()):
            if now_ms >= ended_ms + self._bounds.settle_ms:
                del self._unconfirmed[key]
                self._count(run, ended_ms)

    def is_presumed(self, upstream: str) -> bool:
        """:returns: whether an upstream is presumed to have crashed"""
        return any(crash.is_presumed for crash in self._table.list_of(upstream))

    def is_counted(self, fingerprint: int, upstream: str) -> bool:
        """:returns: whether a request is in a presumed crash of an upstream"""
        return any(
            crash.is_presumed and crash.upstream == upstream
            for crash in self._table.find(fingerprint)
        )

    def list_presumed(self) -> list[PresumedCrash]:
        """:returns: the crashes of which it has to be found out whether they are any"""
        return [
            PresumedCrash(crash.upstream, crash.incarnation, crash.at_ms)
            for crash in self._table.crashes
            if crash.is_presumed
        ]

    def pop_changed_runs(self) -> list[RunSighting]:
        """:returns: runs of which this VM has to tell the others"""
        changed = list(self._changed.values())
        self._changed.clear()
        return changed

    def list_runs(self, max_runs: int, now_ms: float) -> list[RunSighting]:
        """:returns: what a VM has to know that missed what others told of runs"""
        presumed = [crash for crash in self._table.crashes if crash.is_presumed]
        described = [
            sighting
            for crash in reversed(presumed)
            for sighting in self._describe(crash, RunState.MISSING, now_ms)
        ]
        # Runs of others are repeated as well: the VM that told of one may be killed
        # before all have heard of it.
        open_runs = [
            _describe_run(run, RunState.OPEN, now_ms)
            for run in self._runs.list_held(now_ms)
            if run.is_awaited or self._is_doubted(run)
        ]
        # The latest run leads: a VM that has not heard of it may send a copy.
        return [*open_runs[:1], *described, *open_runs[1:]][:max_runs]

    def _is_doubted(self, run: OpenRun) -> bool:
        """:returns: whether a run that was left is one of a suspect"""
        is_sound = is_part(run.fingerprint) and run.was_answered
        return run.fingerprint in self._table and not is_sound

    def observe_runs(self, sightings: Iterable[RunSighting], now_ms: float) -> None:
        """Merge what other VMs know, which may be late, repeated or known."""
        for sighting in sightings:
            match sighting.state:
                case RunState.OPEN:
                    self._observe_open(sighting, now_ms)
                case RunState.MISSING:
                    self._observe_missing(sighting, now_ms)
                case RunState.SURVIVED:
                    self._observe_survived(sighting)
                case RunState.CLOSED:
                    self._closed.note((sighting.fingerprint, sighting.upstream), now_ms)
                    self._observe_closed(sighting)

    def announce_run(self, run: OpenRun, state: RunState, now_ms: float) -> None:
        """Tell the other VMs of a run of this one."""
        if state is RunState.CLOSED:
            self._closed.note((run.fingerprint, run.upstream), now_ms)
        sighting = _describe_run(run, state, now_ms)
        self._changed[run.fingerprint, run.upstream] = sighting

    def _observe_open(self, sighting: RunSighting, now_ms: float) -> None:
        until_ms = now_ms + sighting.remaining_ms
        sent_ms = now_ms - sighting.age_ms
        if self._survived.find(sighting.upstream) >= until_ms:
            return
        if self._closed.find((sighting.fingerprint, sighting.upstream)) >= sent_ms:
            return  # A VM that has not heard of its end repeats it.
        if self._has_counted(sighting, sent_ms):
            return
        run = OpenRun(
            sighting.fingerprint,
            sighting.upstream,
            sighting.incarnation,
            sent_ms,
            until_ms,
            sighting.was_answered,
            is_own=False,
            is_awaited=sighting.is_awaited,
        )
        ended_ms = self._ended.find((run.upstream, run.incarnation))
        if sent_ms <= ended_ms < until_ms:
            self._note_late(run, ended_ms, now_ms)
        else:
            self._runs.note(run)

    def _has_counted(self, sighting: RunSighting, sent_ms: float) -> bool:
        """:returns: whether this VM knows the crash in which a run ended"""
        own = self._table.find(sighting.fingerprint)
        return any(
            crash.upstream == sighting.upstream
            and crash.counts
            and involvement.seen_ms >= sent_ms
            for crash, involvement in own.items()
        )

    def _note_late(self, run: OpenRun, ended_ms: float, now_ms: float) -> None:
        """Record a run of which this VM hears after the upstream has ended."""
        self._closed.note((run.fingerprint, run.upstream), ended_ms)
        if run.is_awaited and now_ms < ended_ms + self._bounds.settle_ms:
            self._unconfirmed[run.fingerprint, run.upstream] = run, ended_ms
        else:
            self._count(run, ended_ms)

    def _observe_missing(self, sighting: RunSighting, now_ms: float) -> None:
        """Presume a crash, unless its upstream is known to have lived since."""
        ended_ms = now_ms + min(0.0, sighting.remaining_ms)
        if self._survived.find(sighting.upstream) >= ended_ms:
            return
        crash = self._table.open(
            sighting.upstream, sighting.incarnation, ended_ms, is_proven=False
        )
        run_ms = max(0.0, ended_ms - now_ms + sighting.age_ms)
        involvement = Involvement(ended_ms, run_ms, sighting.was_answered)
        self._table.add(sighting.fingerprint, crash, involvement)
        if self._table.prove(crash, is_presumed=True):
            # This VM may not conclude it from its own checks, see `PathMonitor`.
            self._presume_runs(sighting.upstream, ended_ms)
            if crash.fingerprints - {sighting.fingerprint}:
                self._announce(crash, RunState.MISSING, now_ms)

    def _observe_closed(self, sighting: RunSighting) -> None:
        key = sighting.fingerprint, sighting.upstream
        self._unconfirmed.pop(key, None)
        for run in self._runs.find_on(*key):
            if run.is_awaited:
                self._runs.discard(run)

    def _observe_survived(self, sighting: RunSighting) -> None:
        key = sighting.fingerprint, sighting.upstream
        self._unconfirmed.pop(key, None)
        for run in self._runs.find_on(*key):
            self._runs.discard(run)
        for crash in self._table.list_of(sighting.upstream):
            if crash.is_presumed and crash.incarnation == sighting.incarnation:
                self._table.drop(crash)

    def _close_runs(self, upstream: str, incarnation: str, ended_ms: float) -> None:
        """Count the end of an upstream against the open runs on it."""
        for run in self._runs.pop(upstream, incarnation):
            run_ended_ms = min(run.until_ms, max(run.sent_ms, ended_ms))
            if run.is_awaited:
                self._unconfirmed[run.fingerprint, upstream] = run, run_ended_ms
            else:
                self._count(run, run_ended_ms)

    def _count(self, run: OpenRun, ended_ms: float) -> None:
        self._table.prove(self._add(run, ended_ms))
        self._unannounced.add(run.fingerprint)

    def _add(self, run: OpenRun, ended_ms: float) -> Crash:
        """:returns: the crash in which a run ended, or may have"""
        crash = self._table.open(
            run.upstream, run.incarnation, ended_ms, is_proven=False
        )
        involvement = Involvement(ended_ms, ended_ms - run.sent_ms, run.was_answered)
        self._table.add(run.fingerprint, crash, involvement)
        return crash

    def _announce(self, crash: Crash, state: RunState, now_ms: float) -> None:
        for sighting in self._describe(crash, state, now_ms):
            self._changed[sighting.fingerprint, crash.upstream] = sighting

    def _describe(
        self, crash: Crash, state: RunState, now_ms: float
    ) -> Iterator[RunSighting]:
        for fingerprint in sorted(crash.fingerprints):
            involvement = self._table.find(fingerprint)[crash]
            if is_part(fingerprint) and involvement.was_answered:
                continue  # It is in almost every run, and hardly to blame.
            ended_age_ms = now_ms - involvement.seen_ms
            yield RunSighting(
                fingerprint,
                crash.upstream,
                crash.incarnation,
                ended_age_ms + (involvement.run_ms or 0.0),
                -ended_age_ms,
                state,
                involvement.was_answered,
            )


def _describe_run(run: OpenRun, state: RunState, now_ms: float) -> RunSighting:
    """:returns: a run as other VMs are told of it"""
    return RunSighting(
        run.fingerprint,
        run.upstream,
        run.incarnation,
        now_ms - run.sent_ms,
        run.until_ms - now_ms,
        state,
        run.was_answered,
        run.is_awaited,
    )


__all__ = ("PresumedCrash", "UpstreamEnds")
