"""Chooses the VM that a request is handed over to.

Load pattern: all VMs of an availability zone are partitioned at once, and hand over all
their requests. Each of them chooses among the same few VMs of the other zones; if all
chose the nearest, or the one that was idle a moment ago, they would flood it.
"""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from quetzaldeck.decisions.paths.bounds import PathBounds

if TYPE_CHECKING:
    import random
    from collections.abc import Collection, Iterator, Mapping

N_CHOICES = 2
"""VMs drawn at random, of which the less loaded one is chosen."""

UNABLE_MS = 2 * PathBounds().probe_interval_ms
"""Time for which a VM that could not take a request gets no other."""


class PeerChooser:
    """Chooses VMs, and accounts for the requests that they have been handed.

    :param availability_zone: zone of this VM, which is preferred
    """

    def __init__(self, availability_zone: str, *, random_state: random.Random) -> None:
        self._availability_zone = availability_zone
        self._random_state = random_state
        self._n_handed: Counter[str] = Counter()
        self._unable_until_ms: dict[tuple[str, str], float] = {}

    @contextmanager
    def track(self, peer: str) -> Iterator[None]:
        """Count a request that a VM has been handed while the context is open."""
        self._n_handed[peer] += 1
        try:
            yield
        finally:
            self._n_handed[peer] -= 1
            if not self._n_handed[peer]:
                del self._n_handed[peer]

    def note_unable(self, peer: str, service: str, now_ms: float) -> None:
        """Record that a VM can't serve a service either, or can't be reached."""
        for key, until_ms in tuple(self._unable_until_ms.items()):
            if until_ms <= now_ms:
                del self._unable_until_ms[key]
        self._unable_until_ms[peer, service] = now_ms + UNABLE_MS

    def choose(
        self,
        service: str,
        peers: Mapping[str, Collection[str]],
        avoided: Collection[str],
        now_ms: float,
    ) -> str | None:
        """Choose the less loaded one of two VMs.

        :param peers: addresses of the other VMs by availability zone
        :param avoided: VMs that have been asked already
        :returns: its address; ``None`` if no VM is known to be able
        """
        near: list[str] = []
        far: list[str] = []
        for zone, addresses in peers.items():
            able = [
                address
                for address in addresses
                if address not in avoided
                and self._unable_until_ms.get((address, service), 0.0) <= now_ms
            ]
            (near if zone == self._availability_zone else far).extend(able)
        able = sorted(near) + sorted(far)
        if not able:
            return None
        drawn = self._random_state.sample(able, min(N_CHOICES, len(able)))
        return min(drawn, key=lambda peer: (self._n_handed[peer], peer not in near))


__all__ = ("PeerChooser",)
