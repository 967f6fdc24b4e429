"""Messages that only claimants exchange: who holds a claim, and its answer."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.claims.claim_tracker import KeptAnswer
from quetzaldeck.claims.messages import Claim


class ClaimStatusRequest(NamedTuple):
    """Asks a claimant where its claim stands; it answers when that changes.

    :param wait_ms: longest time to wait for the end of a call that runs
    """

    claim_id: str
    wait_ms: float = 0.0


class AnswerHandover(NamedTuple):
    """Answers that a VM which leaves gives to another."""

    answers: tuple[tuple[Claim, KeptAnswer], ...]


__all__ = ("AnswerHandover", "ClaimStatusRequest")
