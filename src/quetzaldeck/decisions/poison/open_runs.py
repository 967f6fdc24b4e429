"""Runs of requests whose end nobody has seen, by the upstream that runs them.

Failure scenario: a caller leaves, or its deadline passes, while an upstream runs its
request; the upstream ends a moment later. The connection was closed before, so no
attempt shows that the request was on board. If callers of a request that crashes
upstreams do not stay, none of its crashes would count.

The same holds for a suspect that another VM has sent: that VM may be killed before it
can tell what became of the request. So VMs tell each other of the runs of suspects.

A run is open until its upstream is known to have lived after the time in which it may
have run. If the upstream ends before, the request ran in that crash.
"""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.decisions.poison.bounds import PoisonBounds


_Key = tuple[int, bool]


class OpenRun(NamedTuple):
    """A request that was sent to an upstream, and what became of it is not known.

    :param incarnation: incarnation of the upstream, as far as is known
    :param sent_ms: when it was sent
    :param until_ms: until when the upstream may run it
    :param was_answered: whether it had been answered a moment before it was sent
    :param is_own: whether this VM has sent it
    :param is_awaited: whether the VM that has sent it still waits for the answer, and
        would tell how it ends
    """

    fingerprint: int
    upstream: str
    incarnation: str
    sent_ms: float
    until_ms: float
    was_answered: bool = False
    is_own: bool = True
    is_awaited: bool = False

    @property
    def key(self) -> _Key:
        """:returns: what tells it from the other runs on its upstream"""
        return self.fingerprint, self.is_awaited


class OpenRuns:
    """Stores open runs; the oldest are dropped first.

    Of a request and upstream there are two at most, one that is awaited and one that
    was left: a copy through another VM says nothing about the outcome of an earlier
    one.

    :param bounds: limits of number and age
    """

    def __init__(self, bounds: PoisonBounds) -> None:
        self._bounds = bounds
        self._by_upstream: dict[str, OrderedDict[_Key, OpenRun]] = {}
        self._upstreams: dict[int, set[str]] = {}

    def __len__(self) -> int:
        return sum(len(runs) for runs in self._by_upstream.values())

    def find(self, fingerprint: int) -> Iterator[OpenRun]:
        """:returns: the open runs of a request"""
        for upstream in self._upstreams.get(fingerprint, ()):
            runs = self._by_upstream[upstream]
            keys = ((fingerprint, True), (fingerprint, False))
            yield from (runs[key] for key in keys if key in runs)

    def find_on(self, fingerprint: int, upstream: str) -> list[OpenRun]:
        """:returns: the open runs of a request on an upstream"""
        return [run for run in self.find(fingerprint) if run.upstream == upstream]

    def list_of(self, upstream: str) -> tuple[OpenRun, ...]:
        """:returns: the open runs on an upstream"""
        return tuple(self._by_upstream.get(upstream, {}).values())

    def note(self, run: OpenRun) -> None:
        """Add a run, which may be known already.

        VMs repeat what they know, and what they tell of the time of a run is late by
        its way. So what others tell does not change one that was left and may go on:
        not that it is awaited, which it was before, nor until when it may go on.
        """
        left = self._find(run, is_awaited=False)
        if left is not None and run.sent_ms <= left.until_ms and not run.is_own:
            return
        awaited = self._find(run, is_awaited=True)
        if run.is_awaited:
            known = awaited
        else:
            known = left
            if awaited is not None and awaited.is_own == run.is_own:
                # It is the same run unless another VM awaits a copy.
                self.discard(awaited)
                run = _merge(awaited, run)
        if known is not None:
            run = _merge(known, run)
        runs = self._by_upstream.setdefault(run.upstream, OrderedDict())
        runs[run.key] = run
        runs.move_to_end(run.key)
        self._upstreams.setdefault(run.fingerprint, set()).add(run.upstream)
        while len(runs) > self._bounds.max_open_runs:
            self.discard(next(iter(runs.values())))

    def _find(self, run: OpenRun, *, is_awaited: bool) -> OpenRun | None:
        """:returns: what is known of a request on the incarnation that runs it"""
        runs = self._by_upstream.get(run.upstream, OrderedDict())
        known = runs.get((run.fingerprint, is_awaited))
        if known is None or not _may_be_same(known.incarnation, run.incarnation):
            return None
        return known

    def discard(self, run: OpenRun) -> None:
        """Remove a run."""
        runs = self._by_upstream.get(run.upstream, OrderedDict())
        if runs.pop(run.key, None) is None:
            return
        if (run.fingerprint, not run.is_awaited) not in runs:
            upstreams = self._upstreams[run.fingerprint]
            upstreams.discard(run.upstream)
            if not upstreams:
                del self._upstreams[run.fingerprint]
        if not runs:
            del self._by_upstream[run.upstream]

    def forget(self, fingerprint: int) -> None:
        """Remove all runs of a request."""
        for run in tuple(self.find(fingerprint)):
            self.discard(run)

    def pop(self, upstream: str, incarnation: str) -> list[OpenRun]:
        """:returns: the runs on an incarnation that has ended, removed

        Those of this VM that are awaited stay: their attempts show how they end.

        :param incarnation: ``""`` if it is not known
        """
        runs = [
            run
            for run in self.list_of(upstream)
            if not (run.is_own and run.is_awaited)
            and _may_be_same(run.incarnation, incarnation)
        ]
        for run in runs:
            self.discard(run)
        return runs

    def list_held(self, now_ms: float) -> list[OpenRun]:
        """:returns: runs that may go on or whose outcome is open, the latest first"""
        held = [
            run
            for runs in self._by_upstream.values()
            for run in runs.values()
            if self.find_outcome_ms(run) > now_ms
        ]
        return sorted(held, key=lambda run: run.sent_ms, reverse=True)

    def find_outcome_ms(self, run: OpenRun) -> float:
        """:returns: when all VMs know whether the upstream has survived a run"""
        bounds = self._bounds
        return run.until_ms + (bounds.settle_ms if run.is_awaited else bounds.verify_ms)

    def list_ended(self, upstream: str, now_ms: float) -> list[OpenRun]:
        """:returns: the runs on an upstream that have ended by themselves"""
        return [run for run in self.list_of(upstream) if run.until_ms <= now_ms]

    def pop_ended(self, upstream: str, now_ms: float) -> list[OpenRun]:
        """:returns: the runs on an upstream that have ended by themselves, removed"""
        runs = self.list_ended(upstream, now_ms)
        for run in runs:
            self.discard(run)
        return runs

    def pop_sent(self, upstream: str, checked_ms: float) -> list[OpenRun]:
        """:returns: the runs that began on an upstream until a check, removed

        Those that are awaited stay unless they have ended: it is known later how.
        """
        runs = [
            run
            for run in self.list_of(upstream)
            if run.until_ms <= checked_ms
            or (run.sent_ms <= checked_ms and not run.is_awaited)
        ]
        for run in runs:
            self.discard(run)
        return runs

    def expire(self, now_ms: float) -> None:
        """Remove runs of which nothing has become known for long."""
        for upstream in tuple(self._by_upstream):
            for run in self.list_of(upstream):
                if now_ms - run.until_ms > self._bounds.unproven_ms:
                    self.discard(run)


def _merge(known: OpenRun, run: OpenRun) -> OpenRun:
    """:returns: a run with what is known of it, or of an earlier one of its kind"""
    return run._replace(
        sent_ms=min(known.sent_ms, run.sent_ms), is_own=known.is_own or run.is_own
    )


def _may_be_same(incarnation: str, other: str) -> bool:
    """:returns: whether two incarnations are the same, as far as is known"""
    return incarnation == other or not (incarnation and other)


__all__ = ("OpenRun", "OpenRuns")
