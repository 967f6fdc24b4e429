"""Which VMs issue the permits of each limited upstream, as one VM sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.rendezvous import rank_members

if TYPE_CHECKING:
    from collections.abc import Sequence


class IssuerRanking:
    """Ranks the VMs for each upstream, and keeps the result until the fleet changes.

    Ranking two hundred VMs for each request would take longer than placing it.

    :param own: address of this VM
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._peers: Sequence[str] = ()
        self._ranked: dict[str, tuple[str, ...]] = {}

    def rank(self, upstream: str, peers: Sequence[str]) -> tuple[str, ...]:
        """Rank the VMs that may issue an upstream's permits.

        :param peers: addresses of the other VMs
        :returns: the issuer and, if there is another VM, its deputy
        """
        if peers != self._peers:
            self._peers = peers
            self._ranked = {}
        ranked = self._ranked.get(upstream)
        if ranked is None:
            ranked = rank_members(upstream, (self._own, *peers))[:2]
            self._ranked[upstream] = ranked
        return ranked


__all__ = ("IssuerRanking",)
