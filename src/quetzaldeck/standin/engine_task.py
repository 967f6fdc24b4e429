"""Task that owns the model of a stand-in engine and runs its steps."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.engine_model import EngineModel, Sequence
from quetzaldeck.standin.cache_events import CacheEventLog
from quetzaldeck.standin.group_allocations import GroupAllocations
from quetzaldeck.standin.sequence_observer import SequenceObserver
from quetzaldeck.upstreams.attempt import Owner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.clock import Clock
    from quetzaldeck.engine_model import EngineProfile
    from quetzaldeck.upstreams.wire import SequenceBody

_MAX_BEHIND_MS = 50.0
"""Limit of the delay that later steps catch up after the task ran late."""


class Load(NamedTuple):
    """Load of the engine at one time.

    :param sequence: number of this record, from 1
    """

    at_ms: float
    sequence: int
    n_running: int
    n_waiting: int
    n_kv_tokens_used: int
    n_prefill_tokens: int


class HeldSequence(NamedTuple):
    """A sequence that the engine holds for an attempt.

    :param tokens: queue that gets the number of tokens generated so far, per token
    """

    sequence: Sequence
    owner: Owner
    started_ms: float
    tokens: asyncio.Queue[int]


class EngineTask:
    """Runs the engine model in real time and owns all of its sequences.

    :param wait_until_running: waits until the engine is not paused
    :param observer: notified when a sequence starts or ends
    """

    def __init__(
        self,
        profile: EngineProfile,
        clock: Clock,
        *,
        wait_until_running: Callable[[], Awaitable[None]],
        observer: SequenceObserver | None = None,
    ) -> None:
        self._model = EngineModel(profile)
        self._clock = clock
        self._wait_until_running = wait_until_running
        self.cache_events = CacheEventLog()
        self._observer = observer or SequenceObserver()
        self._held_sequences: dict[str, HeldSequence] = {}
        self.group_allocations = GroupAllocations(
            self._model, clock, self._drop_reserved
        )
        self._loads: deque[Load] = deque(maxlen=1_000)
        self._has_work = asyncio.Event()
        self._n_loads = 0
        self.n_submitted = 0

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held now, in tokens"""
        return self._model.n_kv_tokens_used

    @property
    def held_sequences(self) -> dict[str, HeldSequence]:
        """:returns: the held sequences, by attempt id"""
        return self._held_sequences

    def submit(self, sequence: Sequence, owner: Owner) -> HeldSequence:
        """:returns: the new sequence as held by the engine"""
        held_sequence = HeldSequence(
            sequence, owner, self._clock.now_ms(), asyncio.Queue()
        )
        self._held_sequences[sequence.sequence_id] = held_sequence
        self.n_submitted += 1
        self._observer.note_started(sequence.sequence_id, owner)
        self._model.submit(sequence)
        self._has_work.set()
        return held_sequence

    def has_capacity(self, sequence: Sequence) -> bool:
        """:returns: whether a sequence fits now, or will fit when others have ended"""
        if sequence.reservation_id:
            n_left = self._model.n_reserved_left(sequence.reservation_id)
            return sequence.n_kv_tokens <= n_left
        return sequence.n_kv_tokens <= self._model.n_kv_tokens

    def cancel(self, attempt_id: str) -> None:
        """Release the sequence, reservation or export with this id."""
        if self.group_allocations.release(attempt_id):
            self._has_work.set()
            return
        self._model.cancel(attempt_id)
        if self._held_sequences.pop(attempt_id, None) is not None:
            self._observer.note_ended(attempt_id)

    def _drop_reserved(self, reservation_id: str) -> None:
        """Drop the sequences that use a reservation."""
        for attempt_id, held_sequence in list(self._held_sequences.items()):
            if held_sequence.sequence.reservation_id == reservation_id:
                del self._held_sequences[attempt_id]
                self._observer.note_ended(attempt_id)

    def cancel_all(self) -> None:
        """Release all reservations, exports and sequences."""
        for lease in self.group_allocations.leases:
            self.cancel(lease.reservation_id)
        for attempt_id in list(self._held_sequences):
            self.cancel(attempt_id)

    def list_allocations(self) -> list[SequenceBody]:
        """:returns: sequences, reservations and exports, with their owners"""
        self.group_allocations.expire()
        now_ms = self._clock.now_ms()
        allocations: list[SequenceBody] = []
        for attempt_id, held_sequence in self._held_sequences.items():
            n_tokens = held_sequence.sequence.n_kv_tokens
            age_ms = now_ms - held_sequence.started_ms
            entry = _describe(
                attempt_id, held_sequence.owner, n_tokens, age_ms, "sequence"
            )
            allocations.append(entry)
        for lease in self.group_allocations.leases:
            allocation_id = lease.reservation_id
            age_ms = now_ms - lease.started_ms
            entry = _describe(
                allocation_id, lease.owner, lease.n_tokens, age_ms, "reservation"
            )
            allocations.append(entry)
            allocations.extend(
                _describe(export.export_id, lease.owner, 0, age_ms, "export")
                for export in self.group_allocations.exports
                if export.reservation_id == allocation_id
            )
        return allocations

    def read_load(self, lag_ms: float) -> Load:
        """:returns: the newest recorded load that is at least ``lag_ms`` old"""
        now_ms = self._clock.now_ms()
        self.group_allocations.expire()
        self._record_load(now_ms)
        due_ms = now_ms - lag_ms
        while len(self._loads) > 1 and self._loads[1].at_ms <= due_ms:
            self._loads.popleft()
        return self._loads[0]

    async def run(self) -> None:
        """Run steps until cancelled; wait while the engine is idle."""
        due_ms = self._clock.now_ms()
        while True:
            if self._model.is_idle:
                self._has_work.clear()
                await self._has_work.wait()
                due_ms = self._clock.now_ms()
            await self._wait_until_running()
            step = self._model.step()
            due_ms = max(
                due_ms + step.duration_ms, self._clock.now_ms() - _MAX_BEHIND_MS
            )
            await asyncio.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1_000)
            for attempt_id in step.emitted:
                held_sequence = self._held_sequences.get(attempt_id)
                if held_sequence is not None:
                    held_sequence.tokens.put_nowait(held_sequence.sequence.n_generated)
            for attempt_id in step.finished:
                self.cancel(attempt_id)
            now_ms = self._clock.now_ms()
            self.cache_events.add(step.cached, step.evicted, now_ms)
            self._record_load(now_ms)

    def _record_load(self, now_ms: float) -> None:
        self._n_loads += 1
        model = self._model
        self._loads.append(
            Load(
                now_ms,
                self._n_loads,
                model.n_running,
                model.n_waiting,
                model.n_kv_tokens_committed,
                model.n_prefill_tokens,
            )
        )


def _describe(
    allocation_id: str, owner: Owner, n_kv_tokens: int, age_ms: float, kind: str
) -> SequenceBody:
    return {
        "attempt_id": allocation_id,
        "vm": owner.vm,
        "incarnation": owner.incarnation,
        "n_kv_tokens": n_kv_tokens,
        "age_ms": age_ms,
        "kind": kind,
    }


__all__ = ("EngineTask", "HeldSequence", "Load")
