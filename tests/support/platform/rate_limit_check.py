"""Checks from what replicas get whether VMs together keep the limits that they name."""

from __future__ import annotations

from collections import defaultdict
from itertools import pairwise
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

WINDOW_MS = 4_000.0
GRACE_MS = 3_000.0
"""Time after a replica first named a limit from which on the limit is checked."""

TOLD_MS = 500.0
"""A VM counts this long after it got a response that names a limit."""

FACTOR = 1.5
N_EXTRA = 5


class Received(NamedTuple):
    """A request that a replica received.

    :param vm: VM that sent it
    """

    at_ms: float
    vm: str


class Naming(NamedTuple):
    """A response of a replica.

    :param requests_per_s: the limit that it names; ``None``: none
    :param vm: VM that got it
    """

    at_ms: float
    vm: str
    requests_per_s: float | None


class ReplicaRecord:
    """What one incarnation of a replica got and what it named, in order of time."""

    def __init__(self) -> None:
        self.received: list[Received] = []
        self.namings: list[Naming] = []

    def find_excess(
        self, is_excused: Callable[[str, float, float], bool] = lambda *_: False
    ) -> Iterator[str]:
        """Find windows with more requests than the named limits allow.

        :param is_excused: whether a VM was disturbed in a time span, by its bounds
        :returns: a description of each excess
        """
        for begin_ms, end_ms in self._list_spans():
            told_ms = self._list_told(begin_ms, end_ms)
            counted = [
                request
                for request in self.received
                if begin_ms <= request.at_ms <= end_ms
                and request.at_ms >= told_ms[request.vm] + TOLD_MS
            ]
            for last in counted:
                if last.at_ms < begin_ms + GRACE_MS:
                    continue
                first_ms = last.at_ms - WINDOW_MS
                n_received = sum(
                    first_ms < request.at_ms <= last.at_ms
                    and not is_excused(request.vm, first_ms, last.at_ms)
                    for request in counted
                )
                n_allowed = FACTOR * self._max_allowed(first_ms, last.at_ms) + N_EXTRA
                if n_received > n_allowed:
                    yield (
                        f"{n_received} requests in {WINDOW_MS:.0f} ms, "
                        f"allowed {n_allowed:.1f}"
                    )

    def _list_spans(self) -> Iterator[tuple[float, float]]:
        """:returns: spans of time in which the replica names some limit"""
        begin_ms: float | None = None
        for naming in self.namings:
            if naming.requests_per_s is None and begin_ms is not None:
                yield begin_ms, naming.at_ms
                begin_ms = None
            elif naming.requests_per_s is not None and begin_ms is None:
                begin_ms = naming.at_ms
        if begin_ms is not None:
            yield begin_ms, float("inf")

    def _list_told(self, begin_ms: float, end_ms: float) -> defaultdict[str, float]:
        """:returns: when each VM first got a limit in a span; infinity: never"""
        told_ms: defaultdict[str, float] = defaultdict(lambda: float("inf"))
        for naming in self.namings:
            if begin_ms <= naming.at_ms < end_ms:
                told_ms[naming.vm] = min(told_ms[naming.vm], naming.at_ms)
        return told_ms

    def _max_allowed(self, begin_ms: float, end_ms: float) -> float:
        """:returns: requests that the limits allow in a span

        A lower limit applies ``GRACE_MS`` after it was named, as a first one does; a
        higher one applies at once.
        """
        named = [naming for naming in self.namings if naming.at_ms <= end_ms]
        times = sorted(
            {begin_ms, end_ms}
            | {n.at_ms for n in named if n.at_ms > begin_ms}
            | {
                n.at_ms + GRACE_MS
                for n in named
                if begin_ms < n.at_ms + GRACE_MS < end_ms
            }
        )
        allowed = 0.0
        for before_ms, after_ms in pairwise(times):
            before = [n for n in named if n.at_ms <= before_ms]
            recent = [n for n in before if n.at_ms > before_ms - GRACE_MS]
            rates = [n.requests_per_s or 0.0 for n in (*before[-1:], *recent)]
            rate = max(rates, default=named[0].requests_per_s or 0.0)
            allowed += rate * (after_ms - before_ms) / 1_000
        return allowed


__all__ = ("Naming", "Received", "ReplicaRecord")
