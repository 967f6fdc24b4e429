"""Messages of the claim protocol."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.claims.voter_id import VoterId
from quetzaldeck.claims.voter_set import VoterSet


class Claim(NamedTuple):
    """The right to run a call once.

    :param key: identity of customer and idempotency key
    :param body_digest: digest of the call; the same key with another is refused
    :param claim_id: unique to one attempt of one claimant; never used again
    :param vm: the claimant's VM
    :param address: base URL of its agent
    """

    key: str
    body_digest: str
    claim_id: str
    vm: str
    address: str = ""


class VoteRequest(NamedTuple):
    """Asks a voter for its grant.

    :param created_ms: wall time that the idempotency key carries, if any
    """

    claim: Claim
    created_ms: float | None = None


class Verdict(StrEnum):
    """A voter's answer."""

    GRANTED = "granted"
    HELD = "held"
    CONFLICT = "conflict"
    ABSTAINED = "abstained"


class Vote(NamedTuple):
    """A voter's answer to a claimant.

    :param demands: voter sets in each of which the claimant needs a majority, if
        the vote is a grant; else they tell whom to ask as well
    :param holders: other claims on the key that the voter knows of
    :param retry_after_ms: when an abstaining voter expects to vote again
    """

    voter_id: VoterId
    verdict: Verdict
    required_sets: tuple[frozenset[VoterId], ...] = ()
    holders: tuple[Claim, ...] = ()
    retry_after_ms: float = 0.0
    why: str = ""


class Release(NamedTuple):
    """Tells a voter that a claim was given up and will never be run."""

    key: str
    claim_id: str


class HeldClaim(NamedTuple):
    """A claim in a snapshot.

    :param left_ms: time until it is forgotten
    """

    claim: Claim
    remaining_ms: float


class LostGrants(NamedTuple):
    """What a voter cannot know: grants from before a moment, all lost.

    :param since_wall_ms: keys made before this wall time may have been granted
    :param left_ms: time until such grants no longer matter
    """

    before_wall_ms: float
    remaining_ms: float


class SyncRequest(NamedTuple):
    """A voter's part of a round among voters.

    :param base: the voter set it votes in; ``None`` if it has none yet
    :param targets: later voter sets that it has adopted
    :param wants_seat: whether it asks to be added
    :param wants_claims: whether the answer must carry a snapshot of claims
    :param group: the group of keys that is voted on
    """

    voter_id: VoterId
    committed: VoterSet | None
    pending: tuple[VoterSet, ...] = ()
    wants_to_vote: bool = False
    wants_claims: bool = False
    group: int = 0


class SyncReply(NamedTuple):
    """The state of a voter after it has taken a request into account.

    :param listed: VMs that the platform's list names, as this voter read it
    :param voters: those of them that should vote, as this voter sees it
    :param claims: snapshot, if it was asked for
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
