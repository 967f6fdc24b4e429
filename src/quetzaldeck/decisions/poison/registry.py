"""Finds requests that crash engines, clears those that were only there.

Load pattern: one request crashes each engine that runs it, and its caller sends it
again, to whichever VM the balancer picks. Without this module it takes down an
engine every few seconds, with all that runs there, until the pool is gone.

A crash makes suspects of all requests on board. A suspect runs apart: at most one
on an engine, and only one copy of it at a time on a VM, so that the next crash tells
the guilty from the rest: a crash counts only against those on board that were in
the most crashes. One complete answer clears a request. Refused is what ``n_crashes``
crashes count against, unless about as many engines crashed without it at the time:
in a wave that takes engine after engine, the requests that are tried again are on
board of several crashes and caused none.

The bound: with sightings shared between the VMs, a request that is sent again and
again kills at most ``n_crashes`` engines over all VMs. Copies that run through ``c``
VMs at the same time, or before the news arrive, can each kill one engine more: at
most ``n_crashes - 1 + c`` in all. While engines crash without it as well,
``max_crashes`` takes the place of ``n_crashes``. VMs that cannot exchange news keep
the bound each for itself.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.poison.bounds import PoisonBounds
from quetzaldeck.decisions.poison.sighting import CrashSighting

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator


class Verdict(StrEnum):
    """What is known of a request."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class _Crash(NamedTuple):
    """One crash of one incarnation of an engine."""

    upstream: str
    incarnation: str


class PoisonRegistry:
    """Crash sightings by fingerprint; the oldest go first.

    :param bounds: figures
    """

    def __init__(self, bounds: PoisonBounds | None = None) -> None:
        self._bounds = bounds or PoisonBounds()
        self._crashes: OrderedDict[int, dict[_Crash, float]] = OrderedDict()
        self._requests_by_crash: dict[_Crash, set[int]] = {}
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._seen_ms: OrderedDict[_Crash, float] = OrderedDict()
        self._changed: set[int] = set()
        self._heard: set[int] = set()

    def __len__(self) -> int:
        return len(self._crashes)

    @property
    def bounds(self) -> PoisonBounds:
        """:returns: figures"""
        return self._bounds

    def n_crashes(self, fingerprint: int, now_ms: float) -> int:
        """:returns: crashes that count against a request

        A bystander's crash does not count while another request on board was in
        more crashes; it counts again if that one turns out to be harmless.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        oldest_ms = now_ms - self._bounds.forget_ms
        recent = [crash for crash, seen_ms in crashes.items() if seen_ms >= oldest_ms]
        return sum(len(crashes) >= self._max_crashes_on(crash) for crash in recent)

    def verdict(self, fingerprint: int, now_ms: float) -> Verdict:
        """:returns: whether a request runs freely, apart, or not at all"""
        n_crashes = self.n_crashes(fingerprint, now_ms)
        if n_crashes >= self._crash_limit(fingerprint, n_crashes):
            return Verdict.REFUSED
        return Verdict.SUSPECT if n_crashes else Verdict.CLEAR

    def count_verdicts(self, now_ms: float) -> Counter[Verdict]:
        """:returns: requests that were on board of a crash, by verdict"""
        return Counter(self.verdict(item, now_ms) for item in self._crashes)

    def pop_newly_refused(self, now_ms: float) -> list[int]:
        """:returns: requests of which more was heard since last asked, now refused"""
        heard = sorted(self._heard)
        self._heard.clear()
        return [f for f in heard if self.verdict(f, now_ms) is Verdict.REFUSED]

    def pause_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: pause before a suspect runs, 0 for any other request

        It is counted from the last crash that is known. A copy that arrives here
        while another VM's runs would otherwise kill an engine before the news come.
        """
        if self.verdict(fingerprint, now_ms) is not Verdict.SUSPECT:
            return 0.0
        last_ms = max(self._crashes[fingerprint].values())
        return max(0.0, last_ms + self._bounds.propagation_ms - now_ms)

    def retry_after_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: when a refused request would be let in again"""
        seen = sorted(self._crashes.get(fingerprint, {}).values(), reverse=True)
        if len(seen) < self._bounds.n_crashes:
            return 0.0
        decisive_ms = seen[self._bounds.n_crashes - 1]
        return max(0.0, decisive_ms + self._bounds.forget_ms - now_ms)

    def note_crash(
        self, fingerprint: int, upstream: str, incarnation: str, now_ms: float
    ) -> None:
        """Take one request that was on board when an engine crashed."""
        self._changed.add(fingerprint)
        self._add(fingerprint, _Crash(upstream, incarnation), now_ms)

    def note_answered(self, fingerprint: int, now_ms: float) -> bool:
        """Clear a request that an engine answered.

        :returns: whether it was a suspect
        """
        if fingerprint not in self._crashes:
            return False
        self._changed.add(fingerprint)
        self._forget(fingerprint)
        self._clear(fingerprint, now_ms)
        return True

    def note_alive(self, upstream: str, incarnation: str, measured_ms: float) -> None:
        """Take a report of an incarnation: it had not crashed when it measured.

        A connection that a device between the ends cut looks like a crash. The
        report of the same incarnation from after that moment proves that there was
        none, and the sighting is dropped.
        """
        crash = _Crash(upstream, incarnation)
        certain_ms = measured_ms - self._bounds.alive_margin_ms
        for fingerprint in tuple(self._requests_by_crash.get(crash, ())):
            if self._crashes[fingerprint][crash] < certain_ms:
                self._discard(fingerprint, crash)

    def pop_changed_sightings(self, now_ms: float) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings by request, of those that changed since last asked"""
        changed = sorted(self._changed)
        self._changed.clear()
        news = [tuple(self._list_sightings(item, now_ms)) for item in changed]
        return [sightings for sightings in news if sightings]

    def _list_sightings(
        self, fingerprint: int, now_ms: float
    ) -> Iterator[CrashSighting]:
        for crash, seen_ms in self._crashes.get(fingerprint, {}).items():
            yield CrashSighting(fingerprint, *crash, now_ms - seen_ms)
        if fingerprint in self._cleared:
            age_ms = now_ms - self._cleared[fingerprint]
            yield CrashSighting(fingerprint, "", "", age_ms)

    def observe(self, sightings: Iterable[CrashSighting], now_ms: float) -> None:
        """Take what other VMs saw: perhaps late, twice, or known already."""
        for sighting in sightings:
            seen_ms = now_ms - sighting.age_ms
            if sighting.age_ms > self._bounds.forget_ms:
                continue
            if sighting.upstream:
                crash = _Crash(sighting.upstream, sighting.incarnation)
                self._add(sighting.fingerprint, crash, seen_ms)
            else:
                self._take_cleared(sighting.fingerprint, seen_ms)

    def _add(self, fingerprint: int, crash: _Crash, seen_ms: float) -> None:
        # Another VM may go on telling of a crash from before the request was
        # cleared; without this check the bystander would be suspected again.
        if seen_ms <= self._cleared.get(fingerprint, float("-inf")):
            return
        self._heard.add(fingerprint)
        crashes = self._crashes.setdefault(fingerprint, {})
        crashes[crash] = min(seen_ms, crashes.get(crash, seen_ms))
        self._requests_by_crash.setdefault(crash, set()).add(fingerprint)
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > self._bounds.max_fingerprints:
            self._forget(next(iter(self._crashes)))
        self._seen_ms[crash] = min(seen_ms, self._seen_ms.get(crash, seen_ms))
        while len(self._seen_ms) > self._bounds.max_crashes_held:
            self._seen_ms.popitem(last=False)

    def _take_cleared(self, fingerprint: int, cleared_ms: float) -> None:
        for crash, seen_ms in tuple(self._crashes.get(fingerprint, {}).items()):
            if seen_ms <= cleared_ms:
                self._discard(fingerprint, crash)
        self._clear(fingerprint, cleared_ms)

    def _crash_limit(self, fingerprint: int, n_crashes: int) -> int:
        """:returns: crashes after which a request is refused"""
        if n_crashes < self._bounds.n_crashes:
            return self._bounds.n_crashes
        own = self._crashes[fingerprint]
        first_ms = min(own.values()) - self._bounds.wave_ms
        last_ms = max(own.values()) + self._bounds.wave_ms
        n_others = sum(
            first_ms <= seen_ms <= last_ms
            and not self._is_own_crash(own, crash, seen_ms)
            for crash, seen_ms in self._seen_ms.items()
        )
        is_wave = n_others >= n_crashes - 1
        return self._bounds.max_crashes if is_wave else self._bounds.n_crashes

    def _is_own_crash(
        self, own: dict[_Crash, float], crash: _Crash, seen_ms: float
    ) -> bool:
        """:returns: whether a crash is one of a request's, perhaps by another name"""
        return crash in own or any(
            other.upstream == crash.upstream
            and abs(own_ms - seen_ms) <= self._bounds.same_crash_ms
            for other, own_ms in own.items()
        )

    def _max_crashes_on(self, crash: _Crash) -> int:
        return max(
            len(self._crashes[other]) for other in self._requests_by_crash[crash]
        )

    def _forget(self, fingerprint: int) -> None:
        for crash in tuple(self._crashes[fingerprint]):
            self._discard(fingerprint, crash)

    def _discard(self, fingerprint: int, crash: _Crash) -> None:
        crashes = self._crashes[fingerprint]
        del crashes[crash]
        if not crashes:
            del self._crashes[fingerprint]
        aboard = self._requests_by_crash[crash]
        aboard.discard(fingerprint)
        if not aboard:
            del self._requests_by_crash[crash]

    def _clear(self, fingerprint: int, cleared_ms: float) -> None:
        known_ms = self._cleared.get(fingerprint, cleared_ms)
        self._cleared[fingerprint] = max(known_ms, cleared_ms)
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > self._bounds.max_fingerprints:
            self._cleared.popitem(last=False)


__all__ = ("PoisonRegistry", "Verdict")
