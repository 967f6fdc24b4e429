"""Selects whom a VM polls for updates: the source, or a VM that watches it.

Load pattern: each change of the fleet answers the long poll of every VM, and each VM
polls again. With 410 VMs, a release or a burst of configuration changes causes tens of
thousands of requests, and the rate limit of the source grows more slowly than the
fleet. After an outage all VMs send requests at once. A VM that starts while the source
is down learns nothing, although its neighbours know the configuration, and refuses all
requests.

Therefore a few VMs, the watchers, poll the source, and the others poll the watchers.
The watchers are the VMs with the fastest processors, and among equals those with the
lowest hashes of their addresses. VMs that know each other agree on this without a
message; a brief disagreement only causes some additional requests.

Every answer states its age. A VM that does not answer, has left, or sends outdated
answers is suspected for a while, and the source is polled next. No VM therefore depends
on another one for longer than the time limits allow. If a VM of another zone does not
answer, the zones may be partitioned: until the suspicion ends, the VMs of a zone
select their watchers among themselves.

While the source fails, a VM polls random other VMs, which may reach the source or at
least have newer state. An outdated answer is then no reason for suspicion. Watchers
retry the source soon. The other VMs retry at growing intervals, and learn from the
watchers when it recovers.
"""

from __future__ import annotations

from functools import lru_cache
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Collection

    from quetzaldeck.belief.sharing_bounds import SharingBounds

MAX_RANKS = 4_096
"""Number of cached address hashes: ten times the largest fleet planned."""


class SourceSelector:
    """Selects whom one VM polls next.

    :param own: this VM's address
    :param random_state: selects VMs while the source fails, and spreads retries
    :param find_capacity: returns the processor capacity of a VM, including this one, in
        cores
    """

    def __init__(
        self,
        own: str,
        bounds: SharingBounds,
        *,
        random_state: random.Random,
        find_capacity: Callable[[str], float],
    ) -> None:
        self._own = own
        self._find_capacity = find_capacity
        self._bounds = bounds
        self._random_state = random_state
        self._suspected_until_ms: dict[str, float] = {}
        self._n_source_errors = 0
        self._source_failed_ms = float("-inf")
        self._source_retry_ms = float("-inf")
        self._must_poll_source = True
        self._is_watcher = False
        self._n_vms = 1

    @property
    def is_source_failing(self) -> bool:
        """:returns: whether the last request to the source failed"""
        return self._n_source_errors > 0

    def set_bounds(self, bounds: SharingBounds) -> None:
        """Replace the time limits and rates."""
        self._bounds = bounds

    def choose(
        self,
        neighbours: Collection[str],
        others: Collection[str],
        now_ms: float,
        *,
        seeds: Collection[str] = (),
    ) -> str | None:
        """Select whom to poll.

        :param neighbours: other VMs of this availability zone
        :param others: VMs of other zones, or of an unknown zone
        :param seeds: addresses at which VMs may run; polled only if the source fails
        :returns: a VM's address; ``None``: the source
        """
        watchers = self.list_watchers(neighbours, others, now_ms)
        self._is_watcher = self._own in watchers
        self._n_vms = 1 + len(neighbours) + len(others)
        if self.is_source_failing and now_ms < self._get_retry_ms():
            return self._choose_any_vm(watchers, {*neighbours, *others}, seeds)
        if self._must_poll_source or self.is_source_failing or self._is_watcher:
            return None
        return self._choose_watcher(watchers, neighbours)

    def list_watchers(
        self, neighbours: Collection[str], others: Collection[str], now_ms: float
    ) -> tuple[str, ...]:
        """:returns: the VMs that watch the source, in this VM's view"""
        self._drop_suspicions(now_ms)
        members = {self._own, *neighbours}
        if self._suspected_until_ms.keys().isdisjoint(others):
            members.update(others)
        members -= self._suspected_until_ms.keys()
        watchers: list[str] = []
        n_served = 0.0
        for address in sorted(members, key=self._order):
            if n_served >= len(members):
                break
            watchers.append(address)
            n_served += self._n_served(address)
        return tuple(watchers)

    def note_source_answer(self) -> None:
        """Record that the source answered this VM or another one."""
        self._must_poll_source = False
        self._n_source_errors = 0

    def note_history_dropped(self) -> None:
        """Record that the complete state has to be read from the source."""
        self._must_poll_source = True

    def note_source_error(self, now_ms: float) -> None:
        """Record that the source failed."""
        self._n_source_errors += 1
        self._source_failed_ms = now_ms
        pause_ms = self._bounds.retry_pause_ms(self._n_source_errors, self._n_vms)
        pause_ms *= self._random_state.uniform(0.5, 1.0)
        self._source_retry_ms = now_ms + max(self._bounds.retry_ms, pause_ms)

    def note_peer_answer(self, address: str, age_ms: float, now_ms: float) -> bool:
        """Record the answer of another VM.

        An answer as young as a watcher's shows that the source works again, so a VM
        that is not a watcher need not retry it.

        :param age_ms: age of this VM's fleet state after the answer
        :returns: whether the other VM is now suspected of having lost the source
        """
        is_fresh = age_ms <= self._bounds.max_answer_age_ms
        if self.is_source_failing and is_fresh and not self._is_watcher:
            self.note_source_answer()
        if is_fresh or self.is_source_failing:
            return False
        self.note_peer_error(address, now_ms)
        return True

    def note_peer_error(self, address: str, now_ms: float) -> None:
        """Record that another VM did not answer, or that its answer was of no use."""
        self._suspected_until_ms[address] = now_ms + self._bounds.suspect_ms
        self._must_poll_source = True

    def _get_retry_ms(self) -> float:
        if self._is_watcher:
            return self._source_failed_ms + self._bounds.retry_ms
        return self._source_retry_ms

    def _choose_watcher(
        self, watchers: Collection[str], neighbours: Collection[str]
    ) -> str:
        """:returns: a watcher of this zone if the zone has enough, else any watcher

        Traffic between zones is billed by the byte.
        """
        near = tuple(address for address in watchers if address in neighbours)
        n_members = len(neighbours) + 1
        is_sufficient = sum(map(self._n_served, near)) >= n_members
        candidates = near if is_sufficient else tuple(watchers)
        return candidates[_rank(self._own) % len(candidates)]

    def _choose_any_vm(
        self,
        watchers: Collection[str],
        known: Collection[str],
        seeds: Collection[str],
    ) -> str | None:
        """:returns: a VM to poll while the source fails for this VM

        Half of the time it is a watcher, since watchers notice first when the source
        recovers. Otherwise it is any VM, since the source may reject all watchers.
        """
        untrusted = self._suspected_until_ms.keys() | {self._own}
        trusted_watchers = sorted(set(watchers) - untrusted)
        trusted = sorted(set(known) - untrusted) or sorted(set(seeds) - untrusted)
        if trusted_watchers and self._random_state.random() < 0.5:
            return self._random_state.choice(trusted_watchers)
        return self._random_state.choice(trusted) if trusted else None

    def _n_served(self, address: str) -> float:
        return self._bounds.n_vms_per_watcher(self._find_capacity(address))

    def _order(self, address: str) -> tuple[float, int]:
        return (-self._find_capacity(address), _rank(address))

    def _drop_suspicions(self, now_ms: float) -> None:
        self._suspected_until_ms = {
            address: until_ms
            for address, until_ms in self._suspected_until_ms.items()
            if until_ms > now_ms
        }


@lru_cache(maxsize=MAX_RANKS)
def _rank(address: str) -> int:
    return xxhash.xxh3_64_intdigest(address.encode())


__all__ = ("SourceSelector",)
