"""A voter, which grants keys to claimants.

Claims are made for non-repeatable calls (bookings, charges), a few percent of all
requests, which the load balancer may resend to any VM within seconds. Without votes
each VM that receives a resend would run the call again. A vote costs one message in
each direction per voter, and a claim is won as soon as a majority has granted it, after
about one round trip; a stored claim takes a few hundred bytes until the window
has passed.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import Verdict, Vote, VoteRequest
from quetzaldeck.claims.voter_rounds import VoterRounds

if TYPE_CHECKING:
    from quetzaldeck.claims.messages import Release
    from quetzaldeck.claims.voter_id import VoterId


class Voter(VoterRounds):
    """Grants each key to the first claimant and names it to later claimants."""

    @property
    def can_vote_on_new_keys(self) -> bool:
        """:returns: whether this voter may vote on a timed key created now"""
        return self.can_vote and self._abstention.is_over_for_new_keys

    def vote(self, request: VoteRequest) -> Vote:
        """Vote on the request of a claimant."""
        claim = request.claim
        if not self.can_vote:
            return self._abstain("not in a voter set", self._settings.sync_interval_ms)
        if self.table.is_released(claim.claim_id):
            return self._abstain("the claimant has abandoned the claim", 0.0)
        others = tuple(
            other
            for other in self.table.find(claim.key)
            if other.claim_id != claim.claim_id
        )
        if others:
            is_same = all(other.body_digest == claim.body_digest for other in others)
            verdict = Verdict.HELD if is_same else Verdict.CONFLICT
            return Vote(self._voter_id, verdict, self._list_required_sets(), others)
        abstain_ms = self._abstention.remaining_ms(request.created_ms)
        if abstain_ms > 0:
            return self._abstain("may have forgotten the key", abstain_ms)
        if self._is_too_old(request):
            return self._abstain("the key is older than the window", 0.0)
        if len(self.table) >= self._settings.max_claims:
            return self._abstain("the table is full", self._settings.window_ms)
        self.table.add(claim)
        return Vote(self._voter_id, Verdict.GRANTED, self._list_required_sets())

    def release(self, release: Release) -> None:
        """Remove a claim that its claimant abandoned before running the call."""
        self.table.release(release.key, release.claim_id)

    def _abstain(self, why: str, retry_after_ms: float) -> Vote:
        return Vote(
            self._voter_id,
            Verdict.ABSTAINED,
            self._list_required_sets(),
            retry_after_ms=retry_after_ms,
            why=why,
        )

    def _list_required_sets(self) -> tuple[frozenset[VoterId], ...]:
        return tuple(item.members for item in self._chain.required_sets)

    def _is_too_old(self, request: VoteRequest) -> bool:
        """:returns: whether a claim on the key may have expired already"""
        if request.created_ms is None:
            return False
        resend_ms = self._settings.window_ms - self._settings.max_deadline_ms
        oldest_ms = self._clock.wall_ms() - resend_ms + self._settings.max_clock_skew_ms
        return request.created_ms < oldest_ms


__all__ = ("Voter",)
