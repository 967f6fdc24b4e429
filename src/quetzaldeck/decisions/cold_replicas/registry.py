"""The replicas that are cold, by the claims of all sources."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.cold_replicas.claim import ColdClaim, ColdSource

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

MAX_COLD_MS = 60_000.0
"""Longest time that a claim is believed. Cold times are a few seconds; a number with a
misplaced digit must not limit a replica for days."""


class ColdReplicas:
    """Keeps the claims of each replica by source; it is cold until all have ended.

    Claims end by time. Only a store entry also ends an earlier claim, that of an
    earlier entry: a response may have been sent before the replica became cold again,
    and arrive after.

    :param entry_delay_ms: time until a store entry that was due has arrived
    """

    def __init__(self, entry_delay_ms: float) -> None:
        self._entry_delay_ms = entry_delay_ms
        self._claims: dict[str, dict[ColdSource, ColdClaim]] = {}
        self._incarnations: dict[str, str] = {}

    def find(self, upstream: str, now_ms: float) -> ColdClaim | None:
        """:returns: the claim that ends last; ``None``: the replica is warm"""
        claims = self._claims.get(upstream)
        if not claims:
            return None
        claim = max(claims.values(), key=lambda claim: claim.until_ms)
        return claim if claim.until_ms > now_ms else None

    def find_heard(self, upstream: str, now_ms: float) -> ColdClaim | None:
        """:returns: the claim that ends last, presumptions aside"""
        claims = self._claims.get(upstream, {}).values()
        heard = [c for c in claims if c.source is not ColdSource.PRESUMED]
        claim = max(heard, key=lambda claim: claim.until_ms, default=None)
        return claim if claim is not None and claim.until_ms > now_ms else None

    def list_claims(self, source: ColdSource, now_ms: float) -> list[ColdClaim]:
        """:returns: the claims of one source that have not ended"""
        found = (claims.get(source) for claims in self._claims.values())
        return [c for c in found if c is not None and c.until_ms > now_ms]

    def list_cold(self, now_ms: float) -> list[ColdClaim]:
        """:returns: the claim that ends last of each cold replica"""
        found = (self.find(upstream, now_ms) for upstream in self._claims)
        return [claim for claim in found if claim is not None]

    def note(
        self,
        upstream: str,
        incarnation: str,
        source: ColdSource,
        cold_ms: float,
        now_ms: float,
    ) -> bool:
        """Record a claim.

        :param cold_ms: time for which the replica stays cold, as the source says
        :returns: whether the time at which the replica will be warm has changed
        """
        if is_earlier(incarnation, self._incarnations.get(upstream, "")):
            return False
        until_ms = now_ms + min(cold_ms, MAX_COLD_MS)
        claims = self._claims.get(upstream, {})
        before = claims.get(source)
        if source is not ColdSource.ENTRY and before is not None:
            until_ms = max(until_ms, before.until_ms)
        if until_ms <= now_ms and not claims:
            return False
        end_ms = _find_end_ms(claims)
        claim = ColdClaim(upstream, incarnation, source, now_ms, until_ms)
        claims = self._claims.setdefault(upstream, {})
        claims[source] = claim
        return _find_end_ms(claims) != end_ms

    def presume(self, names: Iterable[str], now_ms: float) -> list[str]:
        """Presume replicas cold until an entry written from now on has arrived.

        :returns: those whose time has changed
        """
        return [
            name
            for name in names
            if self.note(
                name,
                self._incarnations.get(name, ""),
                ColdSource.PRESUMED,
                self._entry_delay_ms,
                now_ms,
            )
        ]

    def apply_incarnations(
        self, incarnations: Mapping[str, str], now_ms: float
    ) -> None:
        """Drop claims on replicas that are gone or have restarted.

        A claim heard within the delay of entries is kept: it may be on the new
        incarnation, whose entry had not arrived then.

        :param incarnations: incarnations of the replicas that exist, by name
        """
        self._incarnations = dict(incarnations)
        oldest_ms = now_ms - self._entry_delay_ms
        for name, claims in tuple(self._claims.items()):
            incarnation = incarnations.get(name)
            for source, claim in tuple(claims.items()):
                is_replaced = claim.heard_ms < oldest_ms and is_earlier(
                    claim.incarnation, incarnation or ""
                )
                if claim.until_ms <= now_ms or is_replaced:
                    del claims[source]
            if not claims or incarnation is None:
                del self._claims[name]


def is_earlier(incarnation: str, known: str) -> bool:
    """:returns: whether an incarnation is known to be earlier than another one"""
    if not (incarnation.isdecimal() and known.isdecimal()):
        return False
    return int(incarnation) < int(known)


def _find_end_ms(claims: Mapping[ColdSource, ColdClaim]) -> float:
    return max((claim.until_ms for claim in claims.values()), default=0.0)


__all__ = ("ColdReplicas",)
