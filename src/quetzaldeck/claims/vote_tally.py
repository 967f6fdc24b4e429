"""Vote counting for one claim."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.claims.messages import Claim, Vote
    from quetzaldeck.claims.voter_id import VoterId


class VoteTally:
    """Counts votes without using the claimant's own view of the fleet.

    A claimant that has just started, or reads a stale list, could mistake a few VMs for
    the whole fleet, and two such claimants could both run the call. So each granting
    voter names the voter sets in which a majority is required, and the claim is won
    only with a majority in all of them.
    """

    def __init__(self, claim: Claim) -> None:
        self._claim = claim
        self._votes: dict[VoterId, Vote] = {}

    @property
    def claim(self) -> Claim:
        """:returns: the claim whose votes are counted"""
        return self._claim

    @property
    def grants(self) -> frozenset[VoterId]:
        """:returns: voters that granted the claim"""
        return frozenset(self._list_voter_ids(Verdict.GRANTED))

    @property
    def is_won(self) -> bool:
        """:returns: whether each set required by a granting voter has a majority"""
        grants = self.grants
        required_sets = {
            required_set
            for voter_id in grants
            for required_set in self._votes[voter_id].required_sets
        }
        return bool(required_sets) and all(
            2 * len(required_set & grants) > len(required_set)
            for required_set in required_sets
        )

    @property
    def has_conflict(self) -> bool:
        """:returns: whether the key is held for a call with another body"""
        return any(self._list_voter_ids(Verdict.CONFLICT))

    @property
    def holders(self) -> tuple[Claim, ...]:
        """:returns: other claims on the key"""
        found = {
            holder.claim_id: holder
            for vote in self._votes.values()
            for holder in vote.holders
        }
        return tuple(found.values())

    @property
    def retry_after_ms(self) -> float:
        """:returns: time until the last of the abstaining voters expects to vote"""
        return max((vote.retry_after_ms for vote in self._votes.values()), default=0.0)

    @property
    def reasons(self) -> tuple[str, ...]:
        """:returns: the distinct reasons for which voters abstained"""
        return tuple(sorted({v.why for v in self._votes.values() if v.why}))

    def add(self, vote: Vote) -> None:
        """Count a vote; a second vote of the same voter is ignored."""
        self._votes.setdefault(vote.voter_id, vote)

    def list_unasked(self, asked: frozenset[str]) -> frozenset[str]:
        """:returns: VMs in a required voter set that were not asked yet"""
        vms = {
            voter_id.vm
            for vote in self._votes.values()
            for required_set in vote.required_sets
            for voter_id in required_set
        }
        return frozenset(vms) - asked

    def _list_voter_ids(self, verdict: Verdict) -> Iterable[VoterId]:
        return (
            voter_id
            for voter_id, vote in self._votes.items()
            if vote.verdict is verdict
        )


__all__ = ("VoteTally",)
