"""The task that owns a stand-in engine's model and steps it."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.engine_model import EngineModel, Sequence
from quetzaldeck.standin.cache_events import CacheEventLog
from quetzaldeck.standin.engine_group import EngineGroup
from quetzaldeck.standin.sequence_watcher import SequenceWatcher
from quetzaldeck.upstreams.attempt import Owner

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.clock import Clock
    from quetzaldeck.engine_model import EngineProfile
    from quetzaldeck.upstreams.wire import SequenceBody

_MAX_BEHIND_MS = 50.0


class Load(NamedTuple):
    """Figures of one moment."""

    at_ms: float
    sequence: int
    n_running: int
    n_waiting: int
    n_kv_tokens_used: int
    n_prefill_tokens: int


class Holding(NamedTuple):
    """What the engine holds for one attempt.

    :param tokens: receives the number of tokens generated so far
    """

    sequence: Sequence
    owner: Owner
    started_ms: float
    tokens: asyncio.Queue[int]


class EngineTask:
    """Steps the model in real time; owns every sequence.

    :param wait_awake: returns when the engine is not paused
    :param watcher: is told of each sequence taken and let go
    """

    def __init__(
        self,
        profile: EngineProfile,
        clock: Clock,
        *,
        wait_awake: Callable[[], Awaitable[None]],
        watcher: SequenceWatcher | None = None,
    ) -> None:
        self._model = EngineModel(profile)
        self._clock = clock
        self._wait_awake = wait_awake
        self.cache_events = CacheEventLog()
        self._watcher = watcher or SequenceWatcher()
        self._holdings: dict[str, Holding] = {}
        self.group = EngineGroup(self._model, clock, self._drop_reserved)
        self._loads: deque[Load] = deque(maxlen=1_000)
        self._has_work = asyncio.Event()
        self._n_loads = 0
        self.n_submitted = 0

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held now, in tokens"""
        return self._model.n_kv_tokens_used

    @property
    def holdings(self) -> dict[str, Holding]:
        """:returns: what is held, by attempt id"""
        return self._holdings

    def submit(self, sequence: Sequence, owner: Owner) -> Holding:
        """:returns: the holding of a new sequence"""
        holding = Holding(sequence, owner, self._clock.now_ms(), asyncio.Queue())
        self._holdings[sequence.sequence_id] = holding
        self.n_submitted += 1
        self._watcher.note_started(sequence.sequence_id, owner)
        self._model.submit(sequence)
        self._has_work.set()
        return holding

    def has_room(self, sequence: Sequence) -> bool:
        """:returns: whether a sequence fits, now or when others have ended"""
        if sequence.reservation_id:
            n_left = self._model.n_reserved_left(sequence.reservation_id)
            return sequence.n_kv_tokens <= n_left
        return sequence.n_kv_tokens <= self._model.n_kv_tokens

    def cancel(self, attempt_id: str) -> None:
        """Release what an id holds: a sequence, a reservation or an export."""
        if self.group.release(attempt_id):
            self._has_work.set()
            return
        self._model.cancel(attempt_id)
        if self._holdings.pop(attempt_id, None) is not None:
            self._watcher.note_ended(attempt_id)

    def _drop_reserved(self, reservation_id: str) -> None:
        """Forget the sequences that ran under a reservation."""
        for attempt_id, holding in list(self._holdings.items()):
            if holding.sequence.reservation_id == reservation_id:
                del self._holdings[attempt_id]
                self._watcher.note_ended(attempt_id)

    def cancel_all(self) -> None:
        """Release everything."""
        for lease in self.group.leases:
            self.cancel(lease.reservation_id)
        for attempt_id in list(self._holdings):
            self.cancel(attempt_id)

    def list_held(self) -> list[SequenceBody]:
        """:returns: sequences, reservations and exports, with their owners"""
        self.group.expire()
        now_ms = self._clock.now_ms()
        held: list[SequenceBody] = []
        for attempt_id, holding in self._holdings.items():
            n_tokens = holding.sequence.n_kv_tokens
            age_ms = now_ms - holding.started_ms
            entry = _describe(attempt_id, holding.owner, n_tokens, age_ms, "sequence")
            held.append(entry)
        for lease in self.group.leases:
            held_id = lease.reservation_id
            age_ms = now_ms - lease.started_ms
            entry = _describe(
                held_id, lease.owner, lease.n_tokens, age_ms, "reservation"
            )
            held.append(entry)
            held.extend(
                _describe(export.export_id, lease.owner, 0, age_ms, "export")
                for export in self.group.exports
                if export.reservation_id == held_id
            )
        return held

    def read_load(self, lag_ms: float) -> Load:
        """:returns: the newest load that is at least ``lag_ms`` old"""
        now_ms = self._clock.now_ms()
        self.group.expire()
        self._record_load(now_ms)
        due_ms = now_ms - lag_ms
        while len(self._loads) > 1 and self._loads[1].at_ms <= due_ms:
            self._loads.popleft()
        return self._loads[0]

    async def run(self) -> None:
        """Step until cancelled; sleep while there is nothing to do."""
        due_ms = self._clock.now_ms()
        while True:
            if self._model.is_idle:
                self._has_work.clear()
                await self._has_work.wait()
                due_ms = self._clock.now_ms()
            await self._wait_awake()
            step = self._model.step()
            due_ms = max(
                due_ms + step.duration_ms, self._clock.now_ms() - _MAX_BEHIND_MS
            )
            await asyncio.sleep(max(0.0, due_ms - self._clock.now_ms()) / 1_000)
            for attempt_id in step.emitted:
                holding = self._holdings.get(attempt_id)
                if holding is not None:
                    holding.tokens.put_nowait(holding.sequence.n_generated)
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
    held_id: str, owner: Owner, n_kv_tokens: int, age_ms: float, kind: str
) -> SequenceBody:
    return {
        "attempt_id": held_id,
        "vm": owner.vm,
        "incarnation": owner.incarnation,
        "n_kv_tokens": n_kv_tokens,
        "age_ms": age_ms,
        "kind": kind,
    }


__all__ = ("EngineTask", "Holding", "Load")
