"""The latest updates of each VM, deduplicated over all paths that they arrive by."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.decisions.loads.load_changes import REFRESH_INTERVAL_MS
from quetzaldeck.entry.peers.messages import LoadUpdate, ShareUpdate, VmUpdate

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

MAX_FORWARDED_LOAD_AGE_MS = 1.5 * REFRESH_INTERVAL_MS
"""Age up to which loads are sent to a VM that joins. A VM that still has the load
repeats it every ``REFRESH_INTERVAL_MS``, so older entries may be of a dead VM, whose
load others must not keep alive."""

MAX_FORWARDED_END_AGE_MS = 1_000.0
"""Age up to which the end of a load is sent to a VM that joins: its previous relay may
have sent it the load."""

SEQUENCE_TTL_MS = 20_000.0
"""Age at which the sequence number of a load is dropped; no datagram is under way for
so long."""

N_REMEMBERED_UPDATES = 32
"""Latest updates with crashes or paces that are remembered for each VM."""


class _StoredLoad(NamedTuple):
    sequence: int
    load: LoadUpdate
    received_ms: float


class _StoredShare(NamedTuple):
    sequence: int
    received_ms: float


class UpdateStore:
    """Loads by VM and upstream, the one with the highest sequence number of each.

    Updates arrive by several paths, more than once or out of order. Only what is newer
    than the stored entry is taken, so that no load is counted twice and none reappears
    after its end. The same holds for shares, by VM, target and customer; they are not
    sent to VMs that join, as the next sums include them. Crashes and paces are taken
    once, which stops VMs from forwarding them to each other endlessly.
    """

    def __init__(self) -> None:
        self._loads_by_vm: dict[str, dict[str, _StoredLoad]] = {}
        self._shares_by_vm: dict[str, dict[tuple[str, str], _StoredShare]] = {}
        self._seen_updates: dict[str, deque[int]] = {}

    def merge(self, update: VmUpdate, now_ms: float) -> VmUpdate:
        """Store an update.

        :returns: the update without what was known already
        """
        new_loads = self._merge_loads(update, now_ms)
        new_shares = self._merge_shares(update, now_ms)
        if update.has_events:
            seen = self._seen_updates.setdefault(
                update.vm, deque(maxlen=N_REMEMBERED_UPDATES)
            )
            key = hash((update.sequence, *_list_events(update)))
            if key in seen:
                return VmUpdate(
                    update.vm, update.sequence, new_loads, shares=new_shares
                )
            seen.append(key)
        if (len(new_loads), len(new_shares)) == (len(update.loads), len(update.shares)):
            return update
        return msgspec.structs.replace(update, loads=new_loads, shares=new_shares)

    def _merge_loads(self, update: VmUpdate, now_ms: float) -> tuple[LoadUpdate, ...]:
        stored = self._loads_by_vm.setdefault(update.vm, {})
        new_loads = []
        for load in update.loads:
            before = stored.get(load.upstream)
            if before is not None and before.sequence >= update.sequence:
                continue
            stored[load.upstream] = _StoredLoad(update.sequence, load, now_ms)
            new_loads.append(load)
        return tuple(new_loads)

    def _merge_shares(self, update: VmUpdate, now_ms: float) -> tuple[ShareUpdate, ...]:
        if not update.shares:
            return ()
        stored = self._shares_by_vm.setdefault(update.vm, {})
        new_shares = []
        for share in update.shares:
            key = (share.target, share.customer)
            before = stored.get(key)
            if before is not None and before.sequence >= update.sequence:
                continue
            stored[key] = _StoredShare(update.sequence, now_ms)
            new_shares.append(share)
        return tuple(new_shares)

    def list_current(self, now_ms: float) -> Iterator[VmUpdate]:
        """:returns: the updates to send to a VM that has just joined"""
        for vm, loads in self._loads_by_vm.items():
            by_sequence: dict[int, list[LoadUpdate]] = {}
            for stored in loads.values():
                if _is_forwarded(stored, now_ms):
                    by_sequence.setdefault(stored.sequence, []).append(stored.load)
            for sequence, current in by_sequence.items():
                yield VmUpdate(vm, sequence, tuple(current))

    def expire(self, now_ms: float) -> None:
        """Drop loads and shares that were not repeated within ``SEQUENCE_TTL_MS``."""
        for vm, loads in tuple(self._loads_by_vm.items()):
            self._loads_by_vm[vm] = {
                upstream: stored
                for upstream, stored in loads.items()
                if now_ms - stored.received_ms <= SEQUENCE_TTL_MS
            }
            if not self._loads_by_vm[vm]:
                del self._loads_by_vm[vm]
                self._seen_updates.pop(vm, None)
        for vm, shares in tuple(self._shares_by_vm.items()):
            self._shares_by_vm[vm] = {
                key: stored
                for key, stored in shares.items()
                if now_ms - stored.received_ms <= SEQUENCE_TTL_MS
            }
            if not self._shares_by_vm[vm]:
                del self._shares_by_vm[vm]


def _is_forwarded(stored: _StoredLoad, now_ms: float) -> bool:
    says_anything = stored.load.says_anything
    max_age_ms = (
        MAX_FORWARDED_LOAD_AGE_MS if says_anything else MAX_FORWARDED_END_AGE_MS
    )
    return now_ms - stored.received_ms <= max_age_ms


class UpdateQueue:
    """Updates that wait to be forwarded, the latest of each VM and upstream.

    Loads keep the sequence number that their VM gave them: under a higher one, an old
    load that was delayed would replace a newer one that arrived by another path.
    """

    def __init__(self) -> None:
        self._loads: dict[tuple[str, str], tuple[int, LoadUpdate]] = {}
        self._shares: dict[tuple[str, str, str], tuple[int, ShareUpdate]] = {}
        self._others: list[VmUpdate] = []

    def __bool__(self) -> bool:
        return bool(self._loads or self._shares or self._others)

    def add(self, update: VmUpdate) -> None:
        """Add an update; its loads replace older ones of the same VM and upstream.

        Its shares replace older ones of the same VM, target and customer.
        """
        for load in update.loads:
            key = (update.vm, load.upstream)
            queued = self._loads.get(key)
            if queued is None or queued[0] < update.sequence:
                self._loads[key] = (update.sequence, load)
        for share in update.shares:
            share_key = (update.vm, share.target, share.customer)
            before = self._shares.get(share_key)
            if before is None or before[0] < update.sequence:
                self._shares[share_key] = (update.sequence, share)
        if update.has_events:
            self._others.append(msgspec.structs.replace(update, loads=(), shares=()))

    def take(self) -> list[VmUpdate]:
        """Empty the queue.

        :returns: the updates that were queued
        """
        loads: dict[tuple[str, int], list[LoadUpdate]] = {}
        for (vm, _), (sequence, load) in self._loads.items():
            loads.setdefault((vm, sequence), []).append(load)
        shares: dict[tuple[str, int], list[ShareUpdate]] = {}
        for (vm, _, _), (sequence, share) in self._shares.items():
            shares.setdefault((vm, sequence), []).append(share)
        updates = [
            VmUpdate(*key, tuple(own), shares=tuple(shares.pop(key, ())))
            for key, own in loads.items()
        ]
        updates += [VmUpdate(*key, shares=tuple(own)) for key, own in shares.items()]
        updates += self._others
        self._loads = {}
        self._shares = {}
        self._others = []
        return updates


def split_updates(
    updates: Iterable[VmUpdate], n_entries: int
) -> Iterator[tuple[VmUpdate, ...]]:
    """Split updates into parts that each fit into a datagram.

    :param n_entries: maximum number of loads and events in a part
    """
    part: list[VmUpdate] = []
    capacity = n_entries
    for update in updates:
        for piece in _split_update(update, n_entries):
            size = _size(piece)
            if size > capacity and part:
                yield tuple(part)
                part, capacity = [], n_entries
            part.append(piece)
            capacity -= size
    if part:
        yield tuple(part)


def _split_update(update: VmUpdate, n_entries: int) -> Iterator[VmUpdate]:
    """Split the update of one VM into pieces of at most ``n_entries`` of one kind."""
    paces = tuple(update.paces.items())
    kinds = (update.loads, update.shares, *_list_events(update))
    length = max(len(entries) for entries in kinds)
    if _size(update) <= n_entries:
        yield update
        return
    for begin in range(0, length, n_entries):
        part = slice(begin, begin + n_entries)
        for piece in (
            VmUpdate(update.vm, update.sequence, loads=update.loads[part]),
            VmUpdate(update.vm, update.sequence, crashes=update.crashes[part]),
            VmUpdate(update.vm, update.sequence, paces=dict(paces[part])),
            VmUpdate(update.vm, update.sequence, limits=update.limits[part]),
            VmUpdate(update.vm, update.sequence, runs=update.runs[part]),
            VmUpdate(update.vm, update.sequence, shares=update.shares[part]),
        ):
            if _size(piece):
                yield piece


def _size(update: VmUpdate) -> int:
    n_events = sum(len(events) for events in _list_events(update))
    return len(update.loads) + len(update.shares) + n_events


def _list_events(update: VmUpdate) -> tuple[tuple[object, ...], ...]:
    """:returns: what an update contains besides loads and shares, by kind"""
    paces = tuple(update.paces.items())
    return (update.crashes, paces, update.limits, update.runs)


__all__ = (
    "MAX_FORWARDED_LOAD_AGE_MS",
    "SEQUENCE_TTL_MS",
    "UpdateQueue",
    "UpdateStore",
    "split_updates",
)
