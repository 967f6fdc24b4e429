"""Assigns each engine to one VM that polls its pace, and selects paces to publish.

Load pattern: hundreds of VMs in front of hundreds of engines. If each VM polled each
engine once a second, an engine would answer as many polls a second as there are VMs,
and each poll is billed. So each engine is polled by one VM: all VMs choose the owner by
rendezvous hashing with the engine's name, which needs no messages. VMs in the engine's
availability zone are preferred, because traffic between zones is billed.

While the views of the VMs differ, an engine may be polled by two VMs, or by none until
its dead owner is removed from the views. An unknown pace is treated as normal.

Only slow engines are published: once a second while they are slow, and once when they
have recovered. With several hundred engines, the paces of the others would make up most
of the updates.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.pace import SLOW_PACE
from quetzaldeck.rendezvous import choose_owner

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_POLLED = 16
"""Engines that one VM polls per round; if it owns more, it polls them in turn. Without
this limit a VM that is cut off from all others would poll every engine at once."""


class PacePollPlanner:
    """Chooses the engines that one VM polls and the paces that it publishes.

    :param own: address of this VM
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._published: set[str] = set()
        self._n_polled = 0
        self._owned: tuple[object, list[str]] = (None, [])

    def choose_polled(
        self,
        engines: Mapping[str, str],
        zone_vms: Mapping[str, Sequence[str]],
    ) -> list[str]:
        """:returns: the engines that this VM polls now

        :param engines: availability zone by engine name
        :param zone_vms: addresses of all known VMs, including this one, by zone
        """
        self._published &= engines.keys()
        view = (engines, zone_vms)
        if self._owned[0] != view:
            copied = {zone: list(vms) for zone, vms in zone_vms.items()}
            self._owned = ((dict(engines), copied), self._list_owned(*view))
        owned = self._owned[1]
        if len(owned) <= MAX_POLLED:
            return owned
        begin = self._n_polled % len(owned)
        self._n_polled += MAX_POLLED
        return (owned + owned)[begin : begin + MAX_POLLED]

    def choose_published(self, paces: Iterable[tuple[str, float]]) -> dict[str, float]:
        """Select the paces that the other VMs need.

        :param paces: engines that were just polled, with their paces
        :returns: paces of engines that are slow, or were when last published
        """
        published: dict[str, float] = {}
        for name, pace in paces:
            is_slow = pace >= SLOW_PACE
            if is_slow or name in self._published:
                published[name] = pace
            if is_slow:
                self._published.add(name)
            else:
                self._published.discard(name)
        return published

    def _list_owned(
        self, engines: Mapping[str, str], zone_vms: Mapping[str, Sequence[str]]
    ) -> list[str]:
        """List the engines that this VM owns, sorted by name.

        Skips zones in which this VM cannot be chosen: 780 engines and the 58 VMs of one
        zone in seven would take 45,000 hashes a second, 2 % of a core.
        """
        everyone = [vm for vms in zone_vms.values() for vm in vms]
        choices = {
            zone: zone_vms.get(zone) or everyone for zone in set(engines.values())
        }
        own_zones = {zone for zone, vms in choices.items() if self._own in vms}
        return sorted(
            name
            for name, zone in engines.items()
            if zone in own_zones and choose_owner(name, choices[zone]) == self._own
        )


__all__ = ("MAX_POLLED", "PacePollPlanner")
