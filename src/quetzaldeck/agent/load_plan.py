"""Which upstreams an agent reads the load of. No I/O.

Load pattern: 410 agents before 780 upstreams. If each read each, a node alone
would spend 780 reads an interval, and each upstream would answer 410 of them.

Each upstream has one agent that reads it often, chosen by rendezvous hashing over
the live VMs, and that tells the others through gossip. Half of an agent's reads go
to the other upstreams in rotation, so that what gossip tells late is also read
first-hand in a small fleet. Agents that disagree about the live VMs only
read an upstream twice; an upstream whose agent died is read by another one as soon
as the death is suspected.

Grounds for the figures: 140 reads a second over the whole fleet are 20 for each of
7 VMs: it reads its own two or three of 17 upstreams several times a second and each
other one about once in 1.4 s. From 70 VMs on each has 2 a second: it reads its two
of 780 upstreams every two seconds.
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
    """Chooses what one agent reads next.

    :param vm: the agent's VM
    """

    def __init__(self, vm: str) -> None:
        self._vm = vm
        self._others: deque[str] = deque()
        self._own: deque[str] = deque()
        self._budget = 0.0
        self._owned: frozenset[str] = frozenset()
        self._owned_among = (frozenset[str](), frozenset[str]())

    def choose(
        self, upstreams: Collection[str], live_vms: Collection[str], elapsed_ms: float
    ) -> tuple[str, ...]:
        """:returns: upstreams to read now, this agent's own ones first

        :param elapsed_ms: time since the last call
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
        # 410 VMs and 780 upstreams are 320,000 hashes: once a change, not a round.
        if (vms, names) != self._owned_among:
            self._owned_among = (vms, names)
            self._owned = frozenset(
                name for name in names if choose_owner(name, vms) == self._vm
            )
        return self._owned

    def _rotate(
        self, rotation: deque[str], names: frozenset[str], max_names: int
    ) -> list[str]:
        """:returns: names from the front of ``rotation``, as the budget allows"""
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
