"""Selects the upstreams whose load an agent reads. No I/O.

In a fleet of 410 agents and 780 upstreams, if every agent read every upstream, each
agent would make 780 reads per interval and each upstream would answer 410.

Instead, each upstream is assigned to one agent by rendezvous hashing over the live
VMs; this agent reads it often and shares the reports by gossip. Half of an agent's
reads go to the other upstreams in rotation, so that in a small fleet every agent also
reads directly what gossip delivers late. Agents that disagree about the live VMs
merely read an upstream twice. An upstream whose agent died is taken over by another
one as soon as that agent is suspected.

The budget of 140 reads per second for the whole fleet gives each of 7 VMs 20 per
second: it reads its own two or three of 17 upstreams several times per second and
each other one about once in 1.4 s. From 70 VMs on, the minimum of 2 per second
applies: with 780 upstreams a VM reads its own two every two seconds.
"""

from __future__ import annotations

import math
from collections import deque
from typing import TYPE_CHECKING

from quetzaldeck.rendezvous import choose_owner

if TYPE_CHECKING:
    from collections.abc import Collection

FLEET_READS_PER_S = 140.0
MIN_READS_PER_S = 2.0
MS_PER_SECOND = 1_000.0


class LoadPlan:
    """Chooses the upstreams that one agent reads next.

    :param vm: the agent's VM
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._others: deque[str] = deque()
        self._own: deque[str] = deque()
        self._budget = 0.0
        self._assigned: frozenset[str] = frozenset()
        self._assigned_for = (frozenset[str](), frozenset[str]())

    def choose(
        self, upstreams: Collection[str], live_vms: Collection[str], elapsed_ms: float
    ) -> tuple[str, ...]:
        """:returns: upstreams to read now, those assigned to this agent first

        :param elapsed_ms: time since the previous call
        """
        vms = frozenset((*live_vms, self._vm))
        names = frozenset(upstreams)
        rate = max(MIN_READS_PER_S, FLEET_READS_PER_S / len(vms))
        self._budget = min(rate, self._budget + rate * elapsed_ms / MS_PER_SECOND)
        own = self._find_own(vms, names)
        chosen = self._rotate(self._own, own, math.ceil(self._budget / 2))
        chosen += self._rotate(self._others, names - own, int(self._budget))
        return tuple(chosen)

    def _find_own(self, vms: frozenset[str], names: frozenset[str]) -> frozenset[str]:
        # 410 VMs and 780 upstreams take 320,000 hashes, so they are computed only when
        # the VMs or upstreams have changed.
        if (vms, names) != self._assigned_for:
            self._assigned_for = (vms, names)
            self._assigned = frozenset(
                name for name in names if choose_owner(name, vms) == self._vm
            )
        return self._assigned

    def _rotate(
        self, rotation: deque[str], names: frozenset[str], max_names: int
    ) -> list[str]:
        """:returns: names from the front of ``rotation``, within the budget"""
        if set(rotation) != names:
            kept = [name for name in rotation if name in names]
            added = sorted(names.difference(kept))
            rotation.clear()
            rotation.extend((*kept, *added))
        n_chosen = min(len(rotation), max_names, int(self._budget))
        self._budget -= n_chosen
        chosen = [rotation.popleft() for _ in range(n_chosen)]
        rotation.extend(chosen)
        return chosen


__all__ = ("LoadPlan",)
