"""Messages between claimants: the state of a claim, and its answer."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.claims.claim_tracker import KeptAnswer
from quetzaldeck.claims.messages import Claim


class ClaimStatusRequest(NamedTuple):
    """Asks a claimant for the state of its claim.

    :param wait_ms: how long the claimant may delay its reply while the call is running
    """

    claim_id: str
    wait_ms: float = 0.0


class AnswerHandover(NamedTuple):
    """Stored answers that a leaving VM sends to another VM."""

    answers: tuple[tuple[Claim, KeptAnswer], ...]


__all__ = ("AnswerHandover", "ClaimStatusRequest")
