"""The claims that one voter has stored."""

from __future__ import annotations

from collections import OrderedDict
from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import Claim, HeldClaim

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.clock import Clock

MAX_RELEASED = 10_000
"""Released claims that are remembered: one each round that a claimant did not win."""


class ClaimTable:
    """Claims by key; each one expires after the window.

    A key can have several claims: voters may have granted it to different claimants,
    and their snapshots are merged here. Any of these claims may have run.

    Released claims are remembered. Otherwise a snapshot that was taken before the
    release, or a vote request that is delivered after it, would store the claim again;
    nobody releases it a second time if its claimant stops.

    :param window_ms: how long a claim granted here is kept
    """

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._by_key: dict[str, dict[str, Claim]] = {}
        self._expiries: OrderedDict[str, tuple[str, float]] = OrderedDict()
        self._released: OrderedDict[str, None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._expiries)

    def find(self, key: str) -> tuple[Claim, ...]:
        """:returns: the claims on a key that have not expired"""
        self._expire()
        return tuple(self._by_key.get(key, {}).values())

    def is_released(self, claim_id: str) -> bool:
        """:returns: whether a claim is known to have been released"""
        return claim_id in self._released

    def add(self, claim: Claim, remaining_ms: float | None = None) -> None:
        """Add a claim that is not released; of two expiries, the later is kept."""
        if self.is_released(claim.claim_id):
            return
        remaining_ms = self._window_ms if remaining_ms is None else remaining_ms
        expires_ms = self._clock.now_ms() + remaining_ms
        known = self._expiries.get(claim.claim_id)
        if known is not None and known[1] >= expires_ms:
            return
        self._by_key.setdefault(claim.key, {})[claim.claim_id] = claim
        self._expiries[claim.claim_id] = (claim.key, expires_ms)
        self._expiries.move_to_end(claim.claim_id)

    def release(self, key: str, claim_id: str) -> None:
        """Remove a claim that will never run, and do not store it again."""
        self._released[claim_id] = None
        if len(self._released) > MAX_RELEASED:
            self._released.popitem(last=False)
        self._remove(key, claim_id)

    def snapshot(self) -> tuple[HeldClaim, ...]:
        """:returns: all claims with the time until each expires"""
        self._expire()
        now_ms = self._clock.now_ms()
        return tuple(
            HeldClaim(self._by_key[key][claim_id], expires_ms - now_ms)
            for claim_id, (key, expires_ms) in self._expiries.items()
        )

    def merge(self, claims: Iterable[HeldClaim]) -> None:
        """Add the claims of another voter's snapshot."""
        for held in claims:
            self.add(held.claim, held.remaining_ms)

    def _remove(self, key: str, claim_id: str) -> None:
        claims = self._by_key.get(key)
        if claims is None or claims.pop(claim_id, None) is None:
            return
        del self._expiries[claim_id]
        if not claims:
            del self._by_key[key]

    def _expire(self) -> None:
        """Remove expired claims from the front of the insertion order.

        A merged claim that is behind a claim with a later expiry is kept too long, by
        at most one window. This is safe, since it can only cause a refusal.
        """
        now_ms = self._clock.now_ms()
        while self._expiries:
            claim_id, (key, expires_ms) = next(iter(self._expiries.items()))
            if expires_ms > now_ms:
                return
            self._remove(key, claim_id)


__all__ = ("ClaimTable",)
