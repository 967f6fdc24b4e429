"""Faults of network connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.soak.own.faults.api import Fault, faults
from tests.soak.own.link import LinkMode

if TYPE_CHECKING:
    import random

    from tests.soak.own.fleet import SoakFleet

SMALLER_GROUP_SIZE = 3


@faults.register("partition")
class Partition(Fault):
    """Agents are split into two groups; messages between the groups are dropped."""

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        names = list(fleet.world.vm_names)
        random_state.shuffle(names)
        self._groups = (
            tuple(names[:SMALLER_GROUP_SIZE]),
            tuple(names[SMALLER_GROUP_SIZE:]),
        )

    @property
    def target(self) -> str:
        """:returns: the smaller group"""
        return ",".join(self._groups[0])

    async def begin(self) -> None:
        """Drop messages between the groups."""
        self._fleet.world.partition(self._groups)

    async def end(self) -> None:
        """Let new connections through; blocked ones stay silent."""
        self._fleet.world.partition((self._fleet.world.vm_names,))


@faults.register("silent_flows")
class SilentFlows(Fault):
    """Open connections to half of the upstreams go silent for good; new ones work."""

    async def begin(self) -> None:
        """Silence the open connections of half of the upstreams."""
        names = sorted(self._fleet.world.upstream_links)
        for name in self._random_state.sample(names, len(names) // 2):
            self._fleet.world.upstream_links[name].silence_open_connections()

    async def end(self) -> None:
        """Do nothing: silent connections do not recover."""


@faults.register("cut_upstream")
class CutUpstream(Fault):
    """An upstream cannot be reached and its connections are aborted."""

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        self._upstream = random_state.choice(sorted(fleet.world.engines))

    @property
    def target(self) -> str:
        """:returns: the upstream"""
        return self._upstream

    async def begin(self) -> None:
        """Cut its link."""
        self._fleet.world.upstream_links[self._upstream].set_mode(LinkMode.CUT)

    async def end(self) -> None:
        """Open its link."""
        self._fleet.world.upstream_links[self._upstream].set_mode(LinkMode.OPEN)


__all__ = ("CutUpstream", "Partition", "SilentFlows")
