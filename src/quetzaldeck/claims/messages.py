"""Messages of the claim protocol."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.claims.voter_id import VoterId
from quetzaldeck.claims.voter_set import VoterSet


class Claim(NamedTuple):
    """The right to run a call once.

    :param key: hash of customer and idempotency key
    :param body_digest: digest of the call; the key with another digest is refused
    :param claim_id: unique to one attempt of one claimant; never reused
    :param vm: the claimant's VM
    :param address: base URL of its agent
    """

    key: str
    body_digest: str
    claim_id: str
    vm: str
    address: str = ""


class VoteRequest(NamedTuple):
    """Asks a voter to grant a claim.

    :param created_ms: wall time in the idempotency key, if it has one
    """

    claim: Claim
    created_ms: float | None = None


class Verdict(StrEnum):
    """Result of a voter's decision on a claim."""

    GRANTED = "granted"
    HELD = "held"
    CONFLICT = "conflict"
    ABSTAINED = "abstained"


class Vote(NamedTuple):
    """A voter's reply to a claimant.

    :param required_sets: voter sets in each of which the claimant needs a majority if
        the vote is a grant; otherwise they only name further voters to ask
    :param holders: other claims on the key that the voter has stored
    :param retry_after_ms: time until an abstaining voter expects to vote again
    """

    voter_id: VoterId
    verdict: Verdict
    required_sets: tuple[frozenset[VoterId], ...] = ()
    holders: tuple[Claim, ...] = ()
    retry_after_ms: float = 0.0
    why: str = ""


class Release(NamedTuple):
    """Tells a voter that a claim was abandoned and will never run."""

    key: str
    claim_id: str


class HeldClaim(NamedTuple):
    """A claim in a snapshot.

    :param remaining_ms: time until it expires
    """

    claim: Claim
    remaining_ms: float


class LostGrants(NamedTuple):
    """Grants that a voter may have made and lost.

    :param before_wall_ms: keys created before this wall time may have been granted
    :param remaining_ms: time until all such grants have expired
    """

    before_wall_ms: float
    remaining_ms: float


class SyncRequest(NamedTuple):
    """A voter's request to its peers in a sync round.

    :param committed: the voter set that the sender votes in; ``None`` if it has none
    :param pending: newer voter sets that the sender has adopted
    :param wants_to_vote: whether the sender asks to be added as a voter
    :param wants_claims: whether the reply must include a snapshot of claims
    :param group: the group of keys that the voters vote on
    """

    voter_id: VoterId
    committed: VoterSet | None
    pending: tuple[VoterSet, ...] = ()
    wants_to_vote: bool = False
    wants_claims: bool = False
    group: int = 0


class SyncReply(NamedTuple):
    """The state of a voter after it has processed a request.

    :param listed: VMs on the platform's list, as this voter last read it
    :param voters: those of them that should vote, in this voter's view
    :param claims: snapshot, if the request asked for it
    """

    voter_id: VoterId
    committed: VoterSet | None
    pending: tuple[VoterSet, ...]
    listed: frozenset[str]
    voters: frozenset[str]
    has_claims: bool = False
    claims: tuple[HeldClaim, ...] = ()
    lost_grants: LostGrants | None = None


__all__ = (
    "Claim",
    "HeldClaim",
    "LostGrants",
    "Release",
    "SyncReply",
    "SyncRequest",
    "Verdict",
    "Vote",
    "VoteRequest",
)
