"""Ledger of the memory that this VM's attempts hold on one engine.

Load pattern: prompts of 1 K to 1 M tokens exhaust an engine's memory long before its
request slots, and load reports show it too late. Without the ledger a VM sends prompts
that an engine cannot hold yet, and they block the engine's own queue.

The sums are maintained incrementally: a placement reads them for each candidate, and
with hundreds of upstreams recomputing them took most of the time of a decision.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from quetzaldeck.decisions.memory.in_flight import InFlightAttempt


class MemoryLedger:
    """Attempts in flight on one upstream, with their sums.

    Attempts that started after the last load report are also summed separately, since
    the report cannot include them.
    """

    def __init__(self) -> None:
        self._attempts: dict[str, InFlightAttempt] = {}
        self._unreported: dict[str, InFlightAttempt] = {}
        self._total = _Sums()
        self._since_report = _Sums()
        self._n_suspects = 0
        self._n_parts = 0
        self._dropped: frozenset[str] = frozenset()

    def __len__(self) -> int:
        return len(self._attempts)

    def __iter__(self) -> Iterator[InFlightAttempt]:
        return iter(tuple(self._attempts.values()))

    def get(self, attempt_id: str) -> InFlightAttempt | None:
        """:returns: an attempt in flight; ``None`` if it is unknown"""
        return self._attempts.get(attempt_id)

    @property
    def n_kv_tokens(self) -> int:
        """:returns: memory reserved by all attempts, in tokens"""
        return self._total.n_kv_tokens

    @property
    def n_prefill_tokens(self) -> int:
        """:returns: prompt tokens of all attempts that are not yet prefilled"""
        return self._total.n_prefill_tokens

    @property
    def n_suspects(self) -> int:
        """:returns: number of attempts of requests suspected of crashing engines"""
        return self._n_suspects

    @property
    def n_parts(self) -> int:
        """:returns: number of attempts that are prompt parts for another engine"""
        return self._n_parts

    @property
    def n_unreported(self) -> int:
        """:returns: number of attempts that the last report cannot include"""
        return len(self._unreported)

    @property
    def n_unreported_kv_tokens(self) -> int:
        """:returns: memory of the attempts that the last report cannot include"""
        return self._since_report.n_kv_tokens

    @property
    def n_unreported_prefill_tokens(self) -> int:
        """:returns: prompt tokens of attempts that the last report cannot include

        Only tokens that are not yet prefilled count.
        """
        return self._since_report.n_prefill_tokens

    def reserve(self, attempt: InFlightAttempt) -> None:
        """Add an attempt before it is sent.

        :raises ValueError: if the attempt is in the ledger already
        """
        if attempt.attempt_id in self._attempts:
            msg = f"attempt {attempt.attempt_id!r} is reserved twice on one upstream"
            raise ValueError(msg)
        self._attempts[attempt.attempt_id] = attempt
        self._unreported[attempt.attempt_id] = attempt
        self._total.add(attempt)
        self._since_report.add(attempt)
        self._n_suspects += attempt.is_suspect
        self._n_parts += attempt.is_part

    def note_sent(self, attempt_id: str, now_ms: float) -> None:
        """Record that an attempt was sent later than it was reserved."""
        for attempts in (self._attempts, self._unreported):
            attempt = attempts.get(attempt_id)
            if attempt is not None:
                attempts[attempt_id] = attempt._replace(started_ms=now_ms)

    def release(self, attempt_id: str) -> bool:
        """Remove an attempt and release what it holds.

        :returns: whether it was in the ledger or dropped; false for a second release
        """
        attempt = self._attempts.pop(attempt_id, None)
        if attempt is None:
            was_dropped = attempt_id in self._dropped
            self._dropped -= {attempt_id}
            return was_dropped
        self._total.subtract(attempt)
        self._n_suspects -= attempt.is_suspect
        self._n_parts -= attempt.is_part
        unreported = self._unreported.pop(attempt_id, None)
        if unreported is not None:
            self._since_report.subtract(unreported)
        return True

    def drop_all(self) -> None:
        """Drop all attempts: the engine that ran them has restarted.

        Each attempt ends later, when its connection breaks; the release that follows
        is not counted as a second one.
        """
        self._dropped |= self._attempts.keys()
        self._attempts.clear()
        self._unreported.clear()
        self._total = _Sums()
        self._since_report = _Sums()
        self._n_suspects = 0
        self._n_parts = 0

    def mark_prefilled(self, attempt_id: str) -> None:
        """Record that the prompt of an attempt is prefilled."""
        attempt = self._attempts.get(attempt_id)
        if attempt is None:
            return
        prefilled = attempt._replace(n_prefill_tokens=0)
        self._attempts[attempt_id] = prefilled
        self._total.subtract(attempt)
        self._total.add(prefilled)
        if attempt_id in self._unreported:
            self._unreported[attempt_id] = prefilled
            self._since_report.subtract(attempt)
            self._since_report.add(prefilled)

    def mark_begun(self, attempt_id: str, now_ms: float) -> None:
        """Record that the engine has begun an answer."""
        for attempts in (self._attempts, self._unreported):
            attempt = attempts.get(attempt_id)
            if attempt is not None:
                attempts[attempt_id] = attempt._replace(begun_ms=now_ms)

    def mark_lived(self, attempt_id: str) -> None:
        """Record that the engine has survived the beginning of an answer."""
        for attempts in (self._attempts, self._unreported):
            attempt = attempts.get(attempt_id)
            if attempt is not None:
                attempts[attempt_id] = attempt._replace(has_lived=True)

    def note_report(self, reported_ms: float) -> None:
        """Mark attempts that started after a load report was measured as unreported."""
        self._unreported = {
            attempt_id: attempt
            for attempt_id, attempt in self._attempts.items()
            if attempt.started_ms >= reported_ms
        }
        self._since_report = _Sums.of(self._unreported.values())


class _Sums:
    """Sums over a set of attempts."""

    def __init__(self) -> None:
        self.n_kv_tokens = 0
        self.n_prefill_tokens = 0

    @classmethod
    def of(cls, attempts: Iterable[InFlightAttempt]) -> _Sums:
        sums = cls()
        for attempt in attempts:
            sums.add(attempt)
        return sums

    def add(self, attempt: InFlightAttempt) -> None:
        self.n_kv_tokens += attempt.n_kv_tokens
        self.n_prefill_tokens += attempt.n_prefill_tokens

    def subtract(self, attempt: InFlightAttempt) -> None:
        self.n_kv_tokens -= attempt.n_kv_tokens
        self.n_prefill_tokens -= attempt.n_prefill_tokens


__all__ = ("MemoryLedger",)
