"""Which VM asks which engine for its pace, and what the others are told.

Load pattern: hundreds of VMs before hundreds of engines. If each VM asked each engine
once a second, an engine would be asked as often as there are VMs, and each question is
paid for. So each engine is asked by one VM: all VMs rank those that they know of by a
hash with the engine's name, and agree without a message. VMs of the engine's own zone
go first, as bytes between zones are paid for.

Where views differ for a while an engine is asked twice, or by nobody until a VM that
has died is forgotten; then nothing is known of its pace, and it counts as usual.

Only engines that are slow are told of, once a second while they are, and once when they
are not any more: at several hundred engines the others would be most of what is told.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.pace import SLOW_PACE
from quetzaldeck.rendezvous import choose_owner

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

MAX_POLLED = 16
"""Engines that one VM asks at a time, more in turn. A VM that has lost sight of all
others would ask every engine there is at once."""


class PacePollPlanner:
    """The questions that fall to one VM.

    :param own: this VM's address
    """

    def __init__(self, own: str) -> None:
        self._own = own
        self._told: set[str] = set()
        self._n_asked = 0
        self._owned: tuple[object, list[str]] = (None, [])

    def choose_polled(
        self,
        engines: Mapping[str, str],
        zone_vms: Mapping[str, Sequence[str]],
    ) -> list[str]:
        """:returns: the engines that this VM asks now

        :param engines: availability zone by name of the engine
        :param zone_vms: addresses of all known VMs, this one among them, by zone
        """
        self._told &= engines.keys()
        view = (engines, zone_vms)
        if self._owned[0] != view:
            copied = {zone: list(vms) for zone, vms in zone_vms.items()}
            self._owned = ((dict(engines), copied), self._list_owned(*view))
        owned = self._owned[1]
        if len(owned) <= MAX_POLLED:
            return owned
        begin = self._n_asked % len(owned)
        self._n_asked += MAX_POLLED
        return (owned + owned)[begin : begin + MAX_POLLED]

    def choose_published(self, paces: Iterable[tuple[str, float]]) -> dict[str, float]:
        """:returns: of what was just asked, what the other VMs are told"""
        told: dict[str, float] = {}
        for name, pace in paces:
            is_slow = pace >= SLOW_PACE
            if is_slow or name in self._told:
                told[name] = pace
            if is_slow:
                self._told.add(name)
            else:
                self._told.discard(name)
        return told

    def _list_owned(
        self, engines: Mapping[str, str], zone_vms: Mapping[str, Sequence[str]]
    ) -> list[str]:
        """:returns: the engines that fall to this VM, by name

        Only those of zones in which it may be chosen are looked at: 780 engines and the
        58 VMs of one zone in seven would be 45,000 hashes a second, a core's fiftieth.
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
