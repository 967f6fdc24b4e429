"""Whom to ask for news: the source itself, or a VM that asks it for others.

Load pattern: each change of the fleet answers the watch of each VM, which asks again.
A release or a storm of configurations makes tens of thousands of calls at 410 VMs, and
the source's rate grows more slowly than the fleet. After an outage all VMs ask at once.
And a VM that starts while the source is silent learns nothing, though its neighbours
know the configuration: it refuses everybody.

So a few VMs of the fleet watch the source, and the others ask them. Those with the
fastest processors watch, and the lowest hashes of their addresses among equals: VMs
that know each other agree without a message, and those that disagree for a moment make
some more calls, nothing worse.

Every answer states its age. A VM that is silent, gone, or tells old news is suspected
for a while, and the source is asked next: so nobody depends on one VM for longer than
the bounds allow, whatever happened to it. A VM of another zone that is silent may mean
that the zones are cut off from each other: until it is trusted again, the VMs of a zone
choose their watchers among themselves.

While the source fails, a VM asks the others in turn: they may reach it, or at least
know more. Old news are then no reason to suspect whoever tells them. The VMs that watch
try the source again soon, and the others at growing pauses: they learn of its return
from the first.
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
"""VMs whose place in the order is remembered: ten times the largest fleet planned."""


class SourceSelector:
    """Decides on the next question of one VM.

    :param own: this VM's address
    :param random_state: chooses among VMs while the source fails, and spreads retries
    :param find_capacity: gives the processor of a VM in cores, also of this one
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
        self._must_ask_source = True
        self._is_watcher = False
        self._n_vms = 1

    @property
    def is_source_failing(self) -> bool:
        """:returns: whether the source failed when it was asked last"""
        return self._n_source_errors > 0

    def set_bounds(self, bounds: SharingBounds) -> None:
        """Take other figures."""
        self._bounds = bounds

    def choose(
        self,
        neighbours: Collection[str],
        others: Collection[str],
        now_ms: float,
        *,
        seeds: Collection[str] = (),
    ) -> str | None:
        """Choose whom to ask.

        :param neighbours: other VMs of this availability zone
        :param others: VMs of other zones, or of an unknown one
        :param seeds: addresses where VMs may be, asked only if the source fails
        :returns: a VM's address; ``None``: the source
        """
        watchers = self.list_watchers(neighbours, others, now_ms)
        self._is_watcher = self._own in watchers
        self._n_vms = 1 + len(neighbours) + len(others)
        if self.is_source_failing and now_ms < self._get_retry_ms():
            return self._choose_any_vm(watchers, {*neighbours, *others}, seeds)
        if self._must_ask_source or self.is_source_failing or self._is_watcher:
            return None
        return self._choose_watcher(watchers, neighbours)

    def list_watchers(
        self, neighbours: Collection[str], others: Collection[str], now_ms: float
    ) -> tuple[str, ...]:
        """:returns: the VMs that watch the source, by this VM's view"""
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
        """Note that the source answered, this VM or another one."""
        self._must_ask_source = False
        self._n_source_errors = 0

    def note_history_gone(self) -> None:
        """Note that the source has to be read as a whole."""
        self._must_ask_source = True

    def note_source_error(self, now_ms: float) -> None:
        """Note that the source failed."""
        self._n_source_errors += 1
        self._source_failed_ms = now_ms
        pause_ms = self._bounds.retry_pause_ms(self._n_source_errors, self._n_vms)
        pause_ms *= self._random_state.uniform(0.5, 1.0)
        self._source_retry_ms = now_ms + max(self._bounds.retry_ms, pause_ms)

    def note_peer_answer(self, address: str, age_ms: float, now_ms: float) -> bool:
        """Note what a VM told.

        News that are as young as a watcher's show that the source answers again: a VM
        that need not watch it has no reason to try by itself.

        :param age_ms: age of this VM's belief after it
        :returns: whether the VM is suspected of having lost the source
        """
        is_young = age_ms <= self._bounds.max_answer_age_ms
        if self.is_source_failing and is_young and not self._is_watcher:
            self.note_source_answer()
        if is_young or self.is_source_failing:
            return False
        self.note_peer_error(address, now_ms)
        return True

    def note_peer_error(self, address: str, now_ms: float) -> None:
        """Note that a VM did not tell anything of use."""
        self._suspected_until_ms[address] = now_ms + self._bounds.suspect_ms
        self._must_ask_source = True

    def _get_retry_ms(self) -> float:
        if self._is_watcher:
            return self._source_failed_ms + self._bounds.retry_ms
        return self._source_retry_ms

    def _choose_watcher(
        self, watchers: Collection[str], neighbours: Collection[str]
    ) -> str:
        """:returns: a watcher of this zone if there are enough for it, else any

        Answers between zones are paid for by their bytes.
        """
        near = tuple(address for address in watchers if address in neighbours)
        n_members = len(neighbours) + 1
        suffices = sum(map(self._n_served, near)) >= n_members
        tellers = near if suffices else tuple(watchers)
        return tellers[_rank(self._own) % len(tellers)]

    def _choose_any_vm(
        self,
        watchers: Collection[str],
        known: Collection[str],
        seeds: Collection[str],
    ) -> str | None:
        """:returns: a VM that may know more than a source that fails this one

        A watcher every other time on average: it notices the return of the source
        first. Any VM otherwise: the source may turn all watchers away.
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
