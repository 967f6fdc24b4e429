"""One crash of an upstream, and a request that ran in it."""

from __future__ import annotations

from typing import NamedTuple


class Crash:
    """One crash, or a broken connection that may have been one.

    Crashes are compared by identity: an upstream that keeps its name and, as far as is
    known, its incarnation may crash more than once.

    :param incarnation: incarnation that crashed, as far as is known
    :param at_ms: when it was first seen
    :param is_proven: whether it is proven that the upstream ended
    """

    __slots__ = ("at_ms", "fingerprints", "incarnation", "is_proven", "upstream")

    def __init__(
        self, upstream: str, incarnation: str, at_ms: float, *, is_proven: bool
    ) -> None:
        self.upstream = upstream
        self.incarnation = incarnation
        self.at_ms = at_ms
        self.is_proven = is_proven
        self.fingerprints: set[int] = set()


class Involvement(NamedTuple):
    """What is known of a request that ran in a crash.

    :param seen_ms: when its run ended
    :param run_ms: how long it had run; ``None``: unknown
    :param was_answered: whether it had been answered a moment before
    """

    seen_ms: float
    run_ms: float | None = None
    was_answered: bool = False


__all__ = ("Crash", "Involvement")
