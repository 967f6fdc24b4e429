"""What a VM tells others of the crashes that it knows."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison.fingerprint import is_part
from quetzaldeck.decisions.poison.sighting import CrashSighting
from quetzaldeck.decisions.poison.verdict import Verdict

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Iterator

    from quetzaldeck.decisions.poison.crash_table import CrashTable

CLEARANCE_REPEAT_MS = 10_000.0
"""How long a clearance is repeated to VMs that may have missed it."""

MAX_SAMPLED = 200
"""Requests that are judged at a time to choose those to tell of."""


class SightingLists:
    """Lists the sightings of a table of crashes.

    :param judge: returns the verdict on a fingerprint, at a time in ms
    """

    def __init__(
        self, table: CrashTable, judge: Callable[[int, float], Verdict]
    ) -> None:
        self._table = table
        self._judge = judge

    def list_all(self, fingerprint: int, now_ms: float) -> Iterator[CrashSighting]:
        """:returns: all certain sightings of a request, and its clearance"""
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

    def list_state(
        self, max_sightings: int, now_ms: float, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """:returns: what :meth:`.PoisonRegistry.list_state` describes"""
        listed = [f for f in self._table if self._table.n_counted(f)]
        listed += self._table.cleared.list_since(now_ms - CLEARANCE_REPEAT_MS)
        listed = random_state.sample(listed, min(len(listed), MAX_SAMPLED))
        verdicts = {item: self._judge(item, now_ms) for item in listed}
        sightings: list[CrashSighting] = []
        for fingerprint, verdict in sorted(verdicts.items(), key=_urgency):
            of_request = list(self.list_all(fingerprint, now_ms))
            if is_part(fingerprint) and verdict is Verdict.CLEAR:
                # That it is sound says enough: it is in almost every crash.
                of_request = [item for item in of_request if not item.upstream]
            if len(of_request) > max_sightings:
                of_request = sorted(of_request, key=_age_ms_of)[:max_sightings]
            if len(sightings) + len(of_request) <= max_sightings:
                sightings += of_request
        return sightings


def _age_ms_of(sighting: CrashSighting) -> float:
    return sighting.age_ms


def _urgency(item: tuple[int, Verdict]) -> tuple[bool, bool]:
    fingerprint, verdict = item
    is_clear_part = is_part(fingerprint) and verdict is Verdict.CLEAR
    return is_clear_part, verdict is not Verdict.REFUSED


__all__ = ("SightingLists",)
