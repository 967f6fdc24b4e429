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


class OpenRun(NamedTuple):
    """A request that was sent to an upstream, and what became of it is not known.

    :param incarnation: incarnation of the upstream, as far as is known
    :param sent_ms: when it was sent
    :param until_ms: until when the upstream may run it
    :param was_answered: whether it had been answered a moment before it was sent
    :param is_own: whether this VM has sent it
    :param is_awaited: whether the VM that has sent it still waits for the answer, and
        would tell how it ends
    :param left: an earlier run there for which nobody waits any more
    """

    fingerprint: int
    upstream: str
    incarnation: str
    sent_ms: float
    until_ms: float
    was_answered: bool = False
    is_own: bool = True
    is_awaited: bool = False
    left: OpenRun | None = None


class OpenRuns:
    """Stores open runs, one of a request and upstream; the oldest are dropped first.

    :param bounds: limits of number and age
    """

    def __init__(self, bounds: PoisonBounds) -> None:
        self._bounds = bounds
        self._by_upstream: dict[str, OrderedDict[int, OpenRun]] = {}
        self._upstreams: dict[int, set[str]] = {}

    def __len__(self) -> int:
        return sum(len(runs) for runs in self._by_upstream.values())

    def find(self, fingerprint: int) -> Iterator[OpenRun]:
        """:returns: the open runs of a request"""
        for upstream in self._upstreams.get(fingerprint, ()):
            yield self._by_upstream[upstream][fingerprint]

    def list_of(self, upstream: str) -> tuple[OpenRun, ...]:
        """:returns: the open runs on an upstream"""
        return tuple(self._by_upstream.get(upstream, {}).values())

    def note(self, run: OpenRun) -> None:
        """Add a run, which may be known already.

        VMs repeat what they know, and what they tell of the time of a run is late by
        its way. So what others tell does not change one that was left and may go on:
        not that it is awaited, which it was before, nor until when it may go on.
        """
        runs = self._by_upstream.setdefault(run.upstream, OrderedDict())
        known = runs.get(run.fingerprint)
        if known is not None and _may_be_same(known.incarnation, run.incarnation):
            was_left = not known.is_awaited and run.sent_ms <= known.until_ms
            if was_left and not run.is_own:
                return
            left = known.left if known.is_awaited else known
            run = run._replace(
                sent_ms=min(known.sent_ms, run.sent_ms),
                is_own=known.is_own or run.is_own,
                left=left if run.is_awaited else None,
            )
        runs[run.fingerprint] = run
        runs.move_to_end(run.fingerprint)
        self._upstreams.setdefault(run.fingerprint, set()).add(run.upstream)
        while len(runs) > self._bounds.max_open_runs:
            self.discard(next(iter(runs)), run.upstream)

    def discard(self, fingerprint: int, upstream: str) -> OpenRun | None:
        """Remove a run.

        :returns: the run; ``None`` if it was not known
        """
        runs = self._by_upstream.get(upstream, OrderedDict())
        run = runs.pop(fingerprint, None)
        if run is None:
            return None
        if not runs:
            del self._by_upstream[upstream]
        upstreams = self._upstreams[fingerprint]
        upstreams.discard(upstream)
        if not upstreams:
            del self._upstreams[fingerprint]
        return run

    def forget(self, fingerprint: int) -> None:
        """Remove all runs of a request."""
        for run in tuple(self.find(fingerprint)):
            self.discard(fingerprint, run.upstream)

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
            self.discard(run.fingerprint, upstream)
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
            self.discard(run.fingerprint, upstream)
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
            self.discard(run.fingerprint, upstream)
        return runs

    def expire(self, now_ms: float) -> None:
        """Remove runs of which nothing has become known for long."""
        for upstream in tuple(self._by_upstream):
            for run in self.list_of(upstream):
                if now_ms - run.until_ms > self._bounds.unproven_ms:
                    self.discard(run.fingerprint, upstream)


def _may_be_same(incarnation: str, other: str) -> bool:
    """:returns: whether two incarnations are the same, as far as is known"""
    return incarnation == other or not (incarnation and other)


__all__ = ("OpenRun", "OpenRuns")
