"""The order in which suspects start on an upstream that is free for them.

Failure scenario: all upstreams of a service have crashed, and the suspects of all VMs
wait. When the first upstream comes up, it is free for each of them. If they start there
together, the next crash does not part the culprit from those that ran alongside.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.poison import Verdict, format_fingerprint
from quetzaldeck.rendezvous import rank_members

if TYPE_CHECKING:
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.upstream_state import UpstreamState


MAX_COPIES = 1_000
"""Suspects whose waiting copies are compared."""


class _Wait(NamedTuple):
    """How long a suspect has found an upstream free, without a break."""

    since_ms: float
    seen_ms: float


class _Copy(NamedTuple):
    """The copy of a suspect that can wait longest, of those that wait at this VM."""

    deadline_ms: float
    seen_ms: float


class SuspectOrder:
    """Lets the suspects of one crash start on an upstream one after the other.

    All VMs compute the same order of them, another one for each upstream. The first may
    start at once; each next one waits for the time in which VMs learn of each other's
    runs, as the one before it may run through another VM, or not at all.

    :param poison: registry of suspected requests
    """

    def __init__(self, poison: PoisonRegistry) -> None:
        self._poison = poison
        self._waits: dict[str, dict[int, _Wait]] = {}
        self._copies: dict[int, _Copy] = {}

    def note_taken(self, upstream: str) -> None:
        """Record that no suspect may start on an upstream now."""
        self._waits.pop(upstream, None)

    def is_last_to_expire(
        self, fingerprint: int, deadline_ms: float, now_ms: float
    ) -> bool:
        """:returns: whether no other copy of a suspect here can wait for longer

        Copies run one at a time. If one is answered, all may run; one whose caller
        leaves before makes all others wait until it is known what became of it.
        """
        known = self._copies.get(fingerprint)
        if (
            known is not None
            and known.deadline_ms > deadline_ms
            and now_ms - known.seen_ms <= self._poison.bounds.min_propagation_ms
        ):
            return False
        if known is None and len(self._copies) >= MAX_COPIES:
            self._copies.clear()
        self._copies[fingerprint] = _Copy(deadline_ms, now_ms)
        return True

    def may_start(self, fingerprint: int, state: UpstreamState, now_ms: float) -> bool:
        """:returns: whether it is the turn of a suspect on an upstream that is free"""
        bounds = self._poison.bounds
        waits = self._waits.setdefault(state.spec.name, {})
        wait = waits.get(fingerprint)
        if wait is None or now_ms - wait.seen_ms > bounds.propagation_ms:
            wait = _Wait(now_ms, now_ms)
        waits[fingerprint] = wait._replace(seen_ms=now_ms)
        n_before = self._count_before(fingerprint, state, now_ms)
        delay_ms = min(n_before * bounds.min_propagation_ms, bounds.propagation_ms)
        return now_ms >= wait.since_ms + delay_ms

    def _count_before(
        self, fingerprint: int, state: UpstreamState, now_ms: float
    ) -> int:
        """:returns: number of suspects that go first"""
        rivals = self._poison.list_rivals(fingerprint)
        if not rivals:
            return 0
        by_name = {format_fingerprint(item): item for item in (*rivals, fingerprint)}
        ranked = rank_members(f"{state.spec.name}/{state.incarnation}", by_name)
        before = ranked[: ranked.index(format_fingerprint(fingerprint))]
        return sum(
            self._poison.verdict(by_name[name], now_ms) is Verdict.SUSPECT
            for name in before
        )


__all__ = ("SuspectOrder",)
