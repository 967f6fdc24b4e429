"""The time-limited permission to dispatch a claimed call."""

from __future__ import annotations

from typing import NamedTuple


class Permit(NamedTuple):
    """Permission to dispatch the call of a claim that was won.

    Each voter keeps the claim for ``window_ms`` after its vote, and votes after
    ``started_ms``. So no other claimant can be granted the key before
    ``valid_until_ms``; a claimant that was paused until later must not dispatch.

    :param started_ms: monotonic time before the first voter was asked
    """

    claim_id: str
    started_ms: float
    valid_until_ms: float

    def is_valid(self, now_ms: float) -> bool:
        """:returns: whether the call may be dispatched now"""
        return now_ms < self.valid_until_ms


__all__ = ("Permit",)
