"""One attempt of a claimant to be granted a key."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import Verdict

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.claims.messages import Claim, Vote
    from quetzaldeck.claims.voter_id import VoterId


class VoteTally:
    """Counts votes; the claimant's own view of the fleet plays no part in it.

    A claimant that has just started, or reads a stale list, could take a few VMs
    for the whole fleet and two such claimants could both run the call. So the
    voters that grant say in which voter sets a majority is needed, and all of
    their demands are met, or the claim is not won.
    """

    def __init__(self, claim: Claim) -> None:
        self._claim = claim
        self._votes: dict[VoterId, Vote] = {}

    @property
    def claim(self) -> Claim:
        """:returns: the claim that is voted on"""
        return self._claim

    @property
    def grants(self) -> frozenset[VoterId]:
        """:returns: seats that granted the claim"""
        return frozenset(self._list_voter_ids(Verdict.GRANTED))

    @property
    def is_won(self) -> bool:
        """:returns: whether every demand of every granting voter is met"""
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
        """:returns: whether the key is held for another body"""
        return any(self._list_voter_ids(Verdict.CONFLICT))

    @property
    def holders(self) -> tuple[Claim, ...]:
        """:returns: claims of others on the key"""
        found = {
            holder.claim_id: holder
            for vote in self._votes.values()
            for holder in vote.holders
        }
        return tuple(found.values())

    @property
    def retry_after_ms(self) -> float:
        """:returns: when the last of the abstaining voters expects to vote"""
        return max((vote.retry_after_ms for vote in self._votes.values()), default=0.0)

    @property
    def reasons(self) -> tuple[str, ...]:
        """:returns: why voters abstained, each reason once"""
        return tuple(sorted({v.why for v in self._votes.values() if v.why}))

    def add(self, vote: Vote) -> None:
        """Count a vote; a repeated one changes nothing."""
        self._votes.setdefault(vote.voter_id, vote)

    def list_unasked(self, asked: frozenset[str]) -> frozenset[str]:
        """:returns: VMs in a demanded voter set that were not asked yet"""
        vms = {
            voter_id.vm
            for vote in self._votes.values()
            for required_set in vote.required_sets
            for voter_id in required_set
        }
        return frozenset(vms) - asked

    def _list_voter_ids(self, verdict: Verdict) -> Iterable[VoterId]:
        return (s for s, vote in self._votes.items() if vote.verdict is verdict)


__all__ = ("VoteTally",)
