"""One crash of an upstream, and a request that ran in it."""

from __future__ import annotations

from typing import NamedTuple


class Crash:
    """One crash, or a broken connection that may have been one.

    Crashes are compared by identity: an upstream that keeps its name and, as far as is
    known, its incarnation may crash more than once.

    A crash is presumed while its upstream does not answer checks: it may have ended, or
    be cut off. It counts as a proven one does until it is known which.

    :param incarnation: incarnation that crashed, as far as is known
    :param at_ms: when it was first seen
    :param counts: whether it is proven or presumed that the upstream ended
    """

    __slots__ = (
        "at_ms",
        "counts",
        "fingerprints",
        "incarnation",
        "is_presumed",
        "upstream",
    )

    def __init__(
        self, upstream: str, incarnation: str, at_ms: float, *, counts: bool
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.at_ms = at_ms
        self.counts = counts
        self.is_presumed = False
        self.fingerprints: set[int] = set()

    @property
    def is_certain(self) -> bool:
        """:returns: whether no life sign of the upstream can refute it"""
        return self.counts and not self.is_presumed


class Involvement(NamedTuple):
    """What is known of a request that ran in a crash.

    :param seen_ms: when its run ended
    :param run_ms: how long it had run; ``None``: unknown
    :param was_answered: whether a VM knows that it had been answered a moment before
    """

    seen_ms: float
    run_ms: float | None = None
    was_answered: bool = False

    @property
    def sent_ms(self) -> float:
        """:returns: when it was sent; when its run ended if that is not known"""
        return self.seen_ms - (self.run_ms or 0.0)

    def began_after(self, at_ms: float) -> bool:
        """:returns: whether the request is known to have been sent later"""
        return self.run_ms is not None and self.seen_ms - self.run_ms > at_ms

    def merge(self, other: Involvement) -> Involvement:
        """:returns: what two copies of the request show, or two sightings of one

        It counts from when the first copy was sent: later ones may have been sent to an
        upstream that had ended.
        """
        first, last = sorted((self, other), key=_seen_ms_of)
        was_answered = self.was_answered or other.was_answered
        first = first._replace(was_answered=was_answered)
        if first.run_ms is None or last.run_ms is None:
            return first._replace(run_ms=None)
        sent_ms = min(first.seen_ms - first.run_ms, last.seen_ms - last.run_ms)
        return first._replace(run_ms=first.seen_ms - sent_ms)


def _seen_ms_of(involvement: Involvement) -> float:
    return involvement.seen_ms


__all__ = ("Crash", "Involvement")
