"""Store of the records of all VMs, as one agent knows them. No I/O.

Load pattern: each VM has a few small facts that all others need soon: the load of
the upstreams it polls, the usage of each customer, the requests that crashed an
engine. Without gossip every VM would ask every other one, or every upstream, and the
traffic of a node would grow with the fleet.

Each record is owned by one VM, so no consensus is needed: the owner's highest
sequence number wins, by whatever route it arrives. A record expires by its time to
live. Each agent counts the remaining time down on its own monotonic clock and passes
on what is left, so wall clocks need not agree; a record expires late by no more than
its time in transit.

Limits: a value over ``max_value_bytes`` is refused when its owner puts it. If there
are more than ``max_records`` records, the first to expire is dropped and counted by
kind.
A message carries up to ``max_message_bytes`` of records, least often sent ones first;
kinds take turns, so that none waits for another.
"""

from __future__ import annotations

import itertools
import math
from collections import Counter, defaultdict
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from quetzaldeck.dissemination.record import Record

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.clock import Clock
    from quetzaldeck.dissemination.record import RecordDraft

SENDS_PER_DOUBLING = 2
"""How often an agent sends a record, for each doubling of the fleet size."""

RecordKey = tuple[str, str, str]


class RecordLimits(NamedTuple):
    """Limits of a store, as described in the head of the module."""

    max_records: int = 4_096
    max_value_bytes: int = 1_024
    max_message_bytes: int = 600


class RecordError(ValueError):
    """Raised for a record that is too large to be published."""


@dataclass
class _HeldRecord:
    record: Record
    stored_ms: float
    n_bytes: int
    cursor: int
    n_sent: int = 0

    def remaining_ms(self, now_ms: float) -> float:
        return self.record.remaining_ms - (now_ms - self.stored_ms)


class RecordStore:
    """Stores the newest record for each (kind, key, VM).

    :param vm: this VM; peers cannot change its records
    :param incarnation: current incarnation of its agent
    """

    def __init__(
        self,
        vm: str,
        incarnation: str,
        clock: Clock,
        limits: RecordLimits | None = None,
    ) -> None:
        self._vm = vm
        self._incarnation = incarnation
        self._clock = clock
        self._limits = limits or RecordLimits()
        self._held: dict[RecordKey, _HeldRecord] = {}
        self._n_put = 0
        self._cursor = 0
        self.dropped: Counter[str] = Counter()

    @property
    def cursor(self) -> int:
        """:returns: sequence number of the last change, for :meth:`list_since`"""
        return self._cursor

    def put(self, draft: RecordDraft) -> None:
        """Publish a record of this VM, or renew it.

        :raises RecordError: if the value is too large
        """
        n_bytes = len(msgspec.json.encode(draft.value))
        if n_bytes > self._limits.max_value_bytes:
            msg = (
                f"value of record {draft.kind}/{draft.key} has {n_bytes} bytes; "
                f"the limit is {self._limits.max_value_bytes}"
            )
            raise RecordError(msg)
        self._n_put += 1
        self._store_record(
            Record(
                draft.kind,
                draft.key,
                self._vm,
                self._incarnation,
                self._n_put,
                draft.ttl_ms,
                draft.is_urgent,
                draft.value,
            )
        )

    def merge(self, records: Iterable[Record]) -> tuple[Record, ...]:
        """Merge records that a peer passed on.

        :returns: the records that were stored because they are newer than known ones
        """
        return tuple(record for record in records if self._merge_one(record))

    def _merge_one(self, record: Record) -> bool:
        if record.vm == self._vm or record.remaining_ms <= 0:
            return False
        held = self._held.get((record.kind, record.key, record.vm))
        if held is not None and not self._is_newer(record, held):
            return False
        self._store_record(record)
        return True

    def _is_newer(self, record: Record, held: _HeldRecord) -> bool:
        if record.incarnation == held.record.incarnation:
            return record.sequence > held.record.sequence
        # Incarnations have no order. All records of a kind have the same time to
        # live, so the one with more time left was published later.
        return record.remaining_ms > held.remaining_ms(self._clock.now_ms())

    def _store_record(self, record: Record) -> None:
        self._cursor += 1
        n_bytes = len(msgspec.json.encode(record))
        self._held[record.kind, record.key, record.vm] = _HeldRecord(
            record, self._clock.now_ms(), n_bytes, self._cursor
        )
        self._enforce_limit()

    def _enforce_limit(self) -> None:
        if len(self._held) <= self._limits.max_records:
            return
        self.expire()
        if len(self._held) <= self._limits.max_records:
            return
        now_ms = self._clock.now_ms()
        first_to_expire = min(
            self._held, key=lambda key: self._held[key].remaining_ms(now_ms)
        )
        del self._held[first_to_expire]
        self.dropped[first_to_expire[0]] += 1

    def expire(self) -> None:
        """Remove expired records."""
        now_ms = self._clock.now_ms()
        expired = [
            key for key, held in self._held.items() if held.remaining_ms(now_ms) <= 0
        ]
        for key in expired:
            del self._held[key]

    def list_since(self, cursor: int, kind: str | None = None) -> tuple[Record, ...]:
        """:returns: unexpired records of other VMs that changed after ``cursor``"""
        now_ms = self._clock.now_ms()
        return tuple(
            held.record._replace(remaining_ms=round(held.remaining_ms(now_ms)))
            for held in self._held.values()
            if held.cursor > cursor
            and held.record.vm != self._vm
            and (kind is None or held.record.kind == kind)
            and held.remaining_ms(now_ms) > 0
        )

    def list_values(self, kind: str, of_type: Any) -> tuple[Any, ...]:
        """:returns: all values of a kind, also those of this VM, as ``of_type``

        Values that do not convert to the type, such as those from an agent of another
        release, are left out and counted as dropped.
        """
        values = []
        now_ms = self._clock.now_ms()
        for held in self._held.values():
            record = held.record
            if record.kind != kind or held.remaining_ms(now_ms) <= 0:
                continue
            if record.value is None:
                continue
            try:
                values.append(msgspec.convert(record.value, of_type, strict=False))
            except msgspec.ValidationError:
                self.dropped[kind] += 1
        return tuple(values)

    def take_records(
        self, n_members: int, *, wants_all: bool = False
    ) -> tuple[Record, ...]:
        """:returns: records to send in one message

        :param n_members: fleet size; each agent sends a record O(log n) times
        :param wants_all: whether to return all records, without a limit, for an agent
            that has just started
        """
        now_ms = self._clock.now_ms()
        max_sent = SENDS_PER_DOUBLING * math.ceil(math.log2(n_members + 1))
        due = [
            held
            for held in self._held.values()
            if held.remaining_ms(now_ms) > 0 and (wants_all or held.n_sent < max_sent)
        ]
        n_bytes_left = math.inf if wants_all else self._limits.max_message_bytes
        chosen = []
        for held in _interleave(due):
            if held.n_bytes > n_bytes_left:
                break
            n_bytes_left -= held.n_bytes
            held.n_sent += 1
            remaining_ms = round(held.remaining_ms(now_ms))
            chosen.append(held.record._replace(remaining_ms=remaining_ms))
        return tuple(chosen)


def _interleave(due: list[_HeldRecord]) -> list[_HeldRecord]:
    """:returns: urgent records first, then the kinds in turn

    Without the turns a kind that changes often would fill every message, since records
    that have just changed are the least often sent ones.
    """
    by_kind: defaultdict[str, list[_HeldRecord]] = defaultdict(list)
    for held in sorted(due, key=lambda held: held.n_sent):
        by_kind[held.record.kind].append(held)
    in_turn = [
        held
        for row in itertools.zip_longest(*by_kind.values())
        for held in row
        if held is not None
    ]
    return sorted(in_turn, key=lambda held: not held.record.is_urgent)


__all__ = ("RecordError", "RecordLimits", "RecordStore")
