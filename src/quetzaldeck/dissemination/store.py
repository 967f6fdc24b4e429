"""Records of all VMs, as one agent holds them. No I/O.

Load pattern: each VM has a few small facts that all others need soon: the load of
the upstreams it polls, how much each customer uses, which requests crashed an
engine. Without it every VM would ask every other one, or every upstream, and the
traffic of a node would grow with the fleet.

A record belongs to one VM, so there is nothing to agree on: the owner's highest
sequence wins, whatever way it came. It ends by its own time to live, counted by
each holder's monotonic clock from the time left when it was passed on, so clocks
that disagree do no harm; it then may only be late by its travelling time.

Bounds: a value over ``max_value_bytes`` is refused to its owner; ``max_records``
are held, those that end first are dropped (and counted by kind); a message carries
``max_message_bytes`` of records, those passed on least go first and no
kind waits for another one.
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
RecordKey = tuple[str, str, str]


class RecordLimits(NamedTuple):
    """Bounds of a store."""

    max_records: int = 4_096
    max_value_bytes: int = 1_024
    max_message_bytes: int = 600


class RecordError(ValueError):
    """A record that cannot be spread."""


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
    """Holds the newest record of each (kind, key, VM).

    :param vm: this VM, whose records only this store changes
    :param incarnation: this start of its agent
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
        """:returns: number of the last change, for :meth:`list_since`"""
        return self._cursor

    def put(self, draft: RecordDraft) -> None:
        """Say a fact about this VM, or say it anew.

        :raises RecordError: if the value is too large
        """
        n_bytes = len(msgspec.json.encode(draft.value))
        if n_bytes > self._limits.max_value_bytes:
            msg = (
                f"record {draft.kind}/{draft.key} has {n_bytes} bytes; "
                f"at most {self._limits.max_value_bytes} are spread"
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
        """Take records that a peer passed on.

        :returns: those that were new
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
        # Starts of one VM do not tell which is the later one. The fact that is
        # true for longer was said later, if its kind has one time to live.
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
        """Drop what is no longer true."""
        now_ms = self._clock.now_ms()
        expired = [
            key for key, held in self._held.items() if held.remaining_ms(now_ms) <= 0
        ]
        for key in expired:
            del self._held[key]

    def list_since(self, cursor: int, kind: str | None = None) -> tuple[Record, ...]:
        """:returns: records of other VMs changed after ``cursor``, still true"""
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
        """:returns: all values of a kind, this VM's too, as ``of_type``

        A value that is not of the type, as an agent of another release may send
        it, is left out and counted as dropped.
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
        """:returns: what to pass on in one message

        :param n_members: of the fleet; a record is passed on O(log) times by each
        :param wants_all: for an agent that has just started: all there is
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
    """:returns: urgent records first, then one of each kind in turn

    A kind that changes often would else take up every message, since what has just
    changed was passed on least.
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
