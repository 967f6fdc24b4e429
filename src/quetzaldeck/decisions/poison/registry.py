"""Identifies requests that crash engines, and clears those that only ran alongside.

Failure scenario: one request crashes each engine that runs it, and its caller retries
it, each time through whichever VM the load balancer picks. Without this module the
request crashes an engine every few seconds, and all requests running there fail, until
no engine of the pool is left.

A crash makes suspects of all requests that were running on the engine. Suspects are
isolated: an engine runs at most one of them, and a VM runs only one copy of a suspect
at a time. The next crash then separates the culprit from the bystanders, because a
crash counts only against those of its requests that were in the most crashes. One
complete answer clears a request. A request is refused once ``n_crashes`` crashes count
against it, unless about as many engines crashed without it at the time: when engine
after engine crashes for another reason, the requests that are retried are in several
crashes and caused none.

Guarantee: if the VMs share their sightings, a request that is resent over and over
crashes at most ``n_crashes`` engines over all VMs. Copies that run through ``c`` VMs at
the same time, or before the updates arrive, can each crash one more engine, at most
``n_crashes - 1 + c`` in total. While other engines crash without it as well,
``max_crashes`` takes the place of ``n_crashes``. While VMs cannot exchange updates,
each enforces the limit by itself.
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
    """How a request is treated, by the crashes that count against it."""

    CLEAR = "clear"
    SUSPECT = "suspect"
    REFUSED = "refused"


class _Crash(NamedTuple):
    """One crash of one incarnation of an engine."""

    upstream: str
    incarnation: str


class PoisonRegistry:
    """Stores crash sightings by fingerprint; the oldest are dropped first.

    :param bounds: thresholds
    """

    def __init__(self, bounds: PoisonBounds | None = None) -> None:
        self._bounds = bounds or PoisonBounds()
        self._crashes: OrderedDict[int, dict[_Crash, float]] = OrderedDict()
        self._requests_by_crash: dict[_Crash, set[int]] = {}
        self._cleared: OrderedDict[int, float] = OrderedDict()
        self._crash_times_ms: OrderedDict[_Crash, float] = OrderedDict()
        self._unannounced: set[int] = set()
        self._newly_sighted: set[int] = set()

    def __len__(self) -> int:
        return len(self._crashes)

    @property
    def bounds(self) -> PoisonBounds:
        """:returns: thresholds"""
        return self._bounds

    def n_crashes(self, fingerprint: int, now_ms: float) -> int:
        """:returns: crashes that count against a request

        A crash does not count against a request while another request of that crash
        was in more crashes; it counts again once the other one is cleared.
        """
        crashes = self._crashes.get(fingerprint)
        if crashes is None:
            return 0
        oldest_ms = now_ms - self._bounds.forget_ms
        recent = [crash for crash, seen_ms in crashes.items() if seen_ms >= oldest_ms]
        return sum(len(crashes) >= self._highest_crash_count(crash) for crash in recent)

    def verdict(self, fingerprint: int, now_ms: float) -> Verdict:
        """:returns: whether a request runs normally, isolated, or not at all"""
        n_crashes = self.n_crashes(fingerprint, now_ms)
        if n_crashes >= self._crash_limit(fingerprint, n_crashes):
            return Verdict.REFUSED
        return Verdict.SUSPECT if n_crashes else Verdict.CLEAR

    def count_verdicts(self, now_ms: float) -> Counter[Verdict]:
        """:returns: number of requests that were in a crash, by verdict"""
        return Counter(self.list_verdicts(now_ms).values())

    def list_verdicts(self, now_ms: float) -> dict[int, Verdict]:
        """:returns: verdicts on the requests that were in a crash, by fingerprint"""
        return {item: self.verdict(item, now_ms) for item in self._crashes}

    def list_crashed(self, fingerprint: int) -> list[str]:
        """:returns: upstreams that crashed while they ran a request, in that order"""
        crashes = self._crashes.get(fingerprint, {})
        return [crash.upstream for crash in sorted(crashes, key=crashes.__getitem__)]

    def pop_newly_refused(self, now_ms: float) -> list[int]:
        """:returns: refused requests with new sightings since the last call"""
        sighted = sorted(self._newly_sighted)
        self._newly_sighted.clear()
        return [f for f in sighted if self.verdict(f, now_ms) is Verdict.REFUSED]

    def pause_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: pause before a suspect runs; 0 for any other request

        The pause starts at the last known crash. Without it, a copy that arrives at
        this VM while another VM runs one could crash an engine before this VM learns of
        the other crash.
        """
        if self.verdict(fingerprint, now_ms) is not Verdict.SUSPECT:
            return 0.0
        last_ms = max(self._crashes[fingerprint].values())
        return max(0.0, last_ms + self._bounds.propagation_ms - now_ms)

    def retry_after_ms(self, fingerprint: int, now_ms: float) -> float:
        """:returns: time until a refused request may be admitted again"""
        seen = sorted(self._crashes.get(fingerprint, {}).values(), reverse=True)
        if len(seen) < self._bounds.n_crashes:
            return 0.0
        decisive_ms = seen[self._bounds.n_crashes - 1]
        return max(0.0, decisive_ms + self._bounds.forget_ms - now_ms)

    def note_crash(
        self, fingerprint: int, upstream: str, incarnation: str, now_ms: float
    ) -> None:
        """Record a request that was running on an engine when it crashed."""
        self._unannounced.add(fingerprint)
        self._add(fingerprint, _Crash(upstream, incarnation), now_ms)

    def note_answered(self, fingerprint: int, now_ms: float) -> bool:
        """Clear a request that an engine answered.

        :returns: whether it was a suspect
        """
        if fingerprint not in self._crashes:
            return False
        self._unannounced.add(fingerprint)
        self._forget(fingerprint)
        self._clear(fingerprint, now_ms)
        return True

    def note_alive(self, upstream: str, incarnation: str, measured_ms: float) -> None:
        """Drop sightings that a later report of the same incarnation refutes.

        A connection that a network device cut looks like a crash of the engine. A
        report that the same incarnation measured after that moment proves that it did
        not crash.
        """
        crash = _Crash(upstream, incarnation)
        refuted_before_ms = measured_ms - self._bounds.alive_margin_ms
        for fingerprint in tuple(self._requests_by_crash.get(crash, ())):
            if self._crashes[fingerprint][crash] < refuted_before_ms:
                self._discard(fingerprint, crash)

    def pop_changed_sightings(self, now_ms: float) -> list[tuple[CrashSighting, ...]]:
        """:returns: sightings of the requests that this VM has to announce, by request

        These are the requests whose crash or answer it saw since the last call.
        """
        unannounced = sorted(self._unannounced)
        self._unannounced.clear()
        by_request = [tuple(self._list_sightings(item, now_ms)) for item in unannounced]
        return [sightings for sightings in by_request if sightings]

    def _list_sightings(
        self, fingerprint: int, now_ms: float
    ) -> Iterator[CrashSighting]:
        for crash, seen_ms in self._crashes.get(fingerprint, {}).items():
            yield CrashSighting(fingerprint, *crash, now_ms - seen_ms)
        if fingerprint in self._cleared:
            age_ms = now_ms - self._cleared[fingerprint]
            yield CrashSighting(fingerprint, "", "", age_ms)

    def observe(self, sightings: Iterable[CrashSighting], now_ms: float) -> None:
        """Merge sightings of other VMs, which may be late, repeated or known."""
        for sighting in sightings:
            seen_ms = now_ms - sighting.age_ms
            if sighting.age_ms > self._bounds.forget_ms:
                continue
            if sighting.upstream:
                crash = _Crash(sighting.upstream, sighting.incarnation)
                self._add(sighting.fingerprint, crash, seen_ms)
            else:
                self._merge_cleared(sighting.fingerprint, seen_ms)

    def _add(self, fingerprint: int, crash: _Crash, seen_ms: float) -> None:
        # Another VM may still report a crash from before the request was cleared;
        # without this check the request would become a suspect again.
        if seen_ms <= self._cleared.get(fingerprint, float("-inf")):
            return
        self._newly_sighted.add(fingerprint)
        crashes = self._crashes.setdefault(fingerprint, {})
        crashes[crash] = min(seen_ms, crashes.get(crash, seen_ms))
        self._requests_by_crash.setdefault(crash, set()).add(fingerprint)
        self._crashes.move_to_end(fingerprint)
        while len(self._crashes) > self._bounds.max_fingerprints:
            self._forget(next(iter(self._crashes)))
        self._crash_times_ms[crash] = min(
            seen_ms, self._crash_times_ms.get(crash, seen_ms)
        )
        while len(self._crash_times_ms) > self._bounds.max_crashes_held:
            self._crash_times_ms.popitem(last=False)

    def _merge_cleared(self, fingerprint: int, cleared_ms: float) -> None:
        for crash, seen_ms in tuple(self._crashes.get(fingerprint, {}).items()):
            if seen_ms <= cleared_ms:
                self._discard(fingerprint, crash)
        self._clear(fingerprint, cleared_ms)

    def _crash_limit(self, fingerprint: int, n_crashes: int) -> int:
        """:returns: number of crashes at which a request is refused

        This is ``max_crashes`` while about as many engines crash without the request.
        """
        if n_crashes < self._bounds.n_crashes:
            return self._bounds.n_crashes
        own = self._crashes[fingerprint]
        first_ms = min(own.values()) - self._bounds.wave_ms
        last_ms = max(own.values()) + self._bounds.wave_ms
        n_others = sum(
            first_ms <= seen_ms <= last_ms
            and not self._is_own_crash(own, crash, seen_ms)
            for crash, seen_ms in self._crash_times_ms.items()
        )
        is_wave = n_others >= n_crashes - 1
        return self._bounds.max_crashes if is_wave else self._bounds.n_crashes

    def _is_own_crash(
        self, own: dict[_Crash, float], crash: _Crash, seen_ms: float
    ) -> bool:
        """:returns: whether a crash is one of a request's own crashes

        The crash may be recorded under another incarnation, see ``same_crash_ms``.
        """
        return crash in own or any(
            other.upstream == crash.upstream
            and abs(own_ms - seen_ms) <= self._bounds.same_crash_ms
            for other, own_ms in own.items()
        )

    def _highest_crash_count(self, crash: _Crash) -> int:
        """:returns: most crashes that any one request of ``crash`` was in"""
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
        requests = self._requests_by_crash[crash]
        requests.discard(fingerprint)
        if not requests:
            del self._requests_by_crash[crash]

    def _clear(self, fingerprint: int, cleared_ms: float) -> None:
        known_ms = self._cleared.get(fingerprint, cleared_ms)
        self._cleared[fingerprint] = max(known_ms, cleared_ms)
        self._cleared.move_to_end(fingerprint)
        while len(self._cleared) > self._bounds.max_fingerprints:
            self._cleared.popitem(last=False)


__all__ = ("PoisonRegistry", "Verdict")
