"""States of a claimant's own claims, and the answers stored for resends."""

from __future__ import annotations

from collections import OrderedDict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims.messages import Claim

if TYPE_CHECKING:
    from quetzaldeck.claims.settings import ClaimSettings
    from quetzaldeck.clock import Clock


class ClaimState(StrEnum):
    """Progress of a claim at its claimant."""

    CLAIMING = "claiming"
    WON = "won"
    ABANDONED = "abandoned"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class KeptAnswer(NamedTuple):
    """An answer as the upstream sent it.

    :param body: encoded in base64 in messages
    """

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


class ClaimStatus(NamedTuple):
    """Status of a claim as its claimant reports it.

    :param answer: set if the call finished and its answer is still stored
    """

    state: ClaimState
    answer: KeptAnswer | None = None


class _Entry(NamedTuple):
    claim: Claim
    claim_status: ClaimStatus
    expires_ms: float


class ClaimTracker:
    """Tracks each claim from its first vote to its answer.

    An abandoned claim stays abandoned, even if late votes would win it: a caller or
    another VM that was told that it will not run may have run the call elsewhere.
    """

    def __init__(self, clock: Clock, settings: ClaimSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._entries: OrderedDict[str, _Entry] = OrderedDict()
        self._answer_sizes: OrderedDict[str, int] = OrderedDict()
        self._n_answer_bytes = 0

    def __len__(self) -> int:
        return len(self._entries)

    def begin(self, claim: Claim) -> None:
        """Start tracking a claim; called before the first voter is asked."""
        self._expire()
        while len(self._entries) >= self._settings.max_claims:
            self._drop_oldest()
        expires_ms = self._clock.now_ms() + self._settings.window_ms
        self._entries[claim.claim_id] = _Entry(
            claim, ClaimStatus(ClaimState.CLAIMING), expires_ms
        )

    def win(self, claim_id: str) -> bool:
        """:returns: whether the call may now run; false for an abandoned claim"""
        if self.find(claim_id).state is not ClaimState.CLAIMING:
            return False
        self._set(claim_id, ClaimStatus(ClaimState.WON))
        return True

    def abandon(self, claim_id: str) -> None:
        """Abandon a claim; the caller must be sure that the call has not run."""
        if self.find(claim_id).state is not ClaimState.FINISHED:
            self._set(claim_id, ClaimStatus(ClaimState.ABANDONED))

    def finish(self, claim_id: str, answer: KeptAnswer | None) -> None:
        """Mark a claim as finished, and store its answer if there is space.

        :param answer: ``None`` if the call may have run but no answer was received
        """
        if self.find(claim_id).state is not ClaimState.WON:
            return
        if answer is None or not self._evict_answers(len(answer.body)):
            self._set(claim_id, ClaimStatus(ClaimState.FINISHED))
            return
        self._answer_sizes[claim_id] = len(answer.body)
        self._n_answer_bytes += len(answer.body)
        self._set(claim_id, ClaimStatus(ClaimState.FINISHED, answer))

    def find(self, claim_id: str) -> ClaimStatus:
        """:returns: the status of a claim"""
        self._expire()
        entry = self._entries.get(claim_id)
        return ClaimStatus(ClaimState.UNKNOWN) if entry is None else entry.claim_status

    def list_finished(self) -> tuple[tuple[Claim, KeptAnswer], ...]:
        """:returns: finished claims whose answers are stored, oldest first"""
        self._expire()
        return tuple(
            (entry.claim, entry.claim_status.answer)
            for entry in self._entries.values()
            if entry.claim_status.answer is not None
        )

    def import_answer(self, claim: Claim, answer: KeptAnswer) -> None:
        """Store an answer that a leaving VM has handed over."""
        if self.find(claim.claim_id).state is ClaimState.UNKNOWN:
            self.begin(claim)
            self.win(claim.claim_id)
            self.finish(claim.claim_id, answer)

    def _set(self, claim_id: str, status: ClaimStatus) -> None:
        entry = self._entries.get(claim_id)
        if entry is not None:
            self._entries[claim_id] = entry._replace(claim_status=status)

    def _evict_answers(self, n_bytes: int) -> bool:
        """Evict the oldest answers until ``n_bytes`` fit.

        :returns: whether they fit at all
        """
        bound = self._settings.max_held_bytes
        if n_bytes > min(self._settings.max_answer_bytes, bound):
            return False
        while self._answer_sizes and self._n_answer_bytes + n_bytes > bound:
            claim_id = next(iter(self._answer_sizes))
            self._drop_answer(claim_id)
            self._set(claim_id, ClaimStatus(ClaimState.FINISHED))
        return True

    def _drop_answer(self, claim_id: str) -> None:
        self._n_answer_bytes -= self._answer_sizes.pop(claim_id, 0)

    def _expire(self) -> None:
        now_ms = self._clock.now_ms()
        while self._entries:
            entry = next(iter(self._entries.values()))
            if entry.expires_ms > now_ms:
                return
            self._drop_oldest()

    def _drop_oldest(self) -> None:
        """Drop the oldest claim; its status is then reported as unknown."""
        claim_id, _ = self._entries.popitem(last=False)
        self._drop_answer(claim_id)


__all__ = ("ClaimState", "ClaimStatus", "ClaimTracker", "KeptAnswer")
