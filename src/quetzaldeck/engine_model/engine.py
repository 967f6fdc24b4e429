"""Cost model of an engine: continuous batching with chunked prefill."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.engine_model.prefix_cache import PrefixCache
from quetzaldeck.engine_model.reservations import Reservations

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.engine_model.profile import EngineProfile
    from quetzaldeck.engine_model.sequence import Sequence

MS_PER_SECOND = 1_000.0


class Step(NamedTuple):
    """Result of one step.

    :param duration_ms: duration of the step
    :param emitted: ids of the sequences that emitted one token each
    :param finished: ids of the sequences that emitted their last token
    :param cached: prefix hashes added to the cache
    :param evicted: prefix hashes evicted from the cache
    """

    duration_ms: float
    emitted: tuple[str, ...]
    finished: tuple[str, ...]
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


class EngineModel:
    """State of one engine, without I/O and without a clock.

    The stand-in sleeps for the duration of each step and the bench advances its
    simulated clock by it, so that both use the same engine.
    """

    def __init__(self, profile: EngineProfile) -> None:
        self._profile = profile
        self._cache = PrefixCache(profile.cache_tokens)
        self._waiting: dict[str, Sequence] = {}
        self._running: dict[str, Sequence] = {}
        self._n_submitted = 0
        self._n_running_tokens = 0
        self._reservations = Reservations(
            math.floor(profile.kv_tokens * (1.0 - profile.reservation_floor))
        )

    @property
    def n_waiting(self) -> int:
        """:returns: number of sequences waiting to join the batch"""
        return len(self._waiting)

    @property
    def n_running(self) -> int:
        """:returns: number of sequences in the batch"""
        return len(self._running)

    @property
    def n_kv_tokens(self) -> int:
        """:returns: total KV memory of the engine, in tokens"""
        return self._profile.kv_tokens

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held by the batch and by granted reservations"""
        return self._n_running_tokens + self._reservations.n_granted_tokens

    @property
    def n_kv_tokens_committed(self) -> int:
        """:returns: memory in use or earmarked for the next reservation"""
        committed = self.n_kv_tokens_used + self._reservations.n_earmarked_tokens
        return min(committed, self._profile.kv_tokens)

    @property
    def max_reserved_tokens(self) -> int:
        """:returns: size of the largest reservation that can be granted"""
        return self._reservations.max_tokens

    @property
    def n_prefill_tokens(self) -> int:
        """:returns: prompt tokens still to prefill, of running and waiting sequences"""
        return sum(sequence.n_to_prefill for sequence in self)

    @property
    def is_idle(self) -> bool:
        """:returns: whether there are neither running nor waiting sequences"""
        return not self._waiting and not self._running

    def __iter__(self) -> Iterator[Sequence]:
        yield from self._running.values()
        yield from self._waiting.values()

    def submit(self, sequence: Sequence) -> None:
        """Add a sequence to the queue for the batch."""
        self._n_submitted += 1
        sequence.arrival_number = self._n_submitted
        self._waiting[sequence.sequence_id] = sequence

    def cancel(self, sequence_id: str) -> bool:
        """:returns: whether a running or waiting sequence was removed"""
        if self._waiting.pop(sequence_id, None) is not None:
            return True
        sequence = self._running.pop(sequence_id, None)
        if sequence is None:
            return False
        self._n_running_tokens -= _unreserved_tokens(sequence)
        return True

    def reserve(self, reservation_id: str, n_tokens: int) -> bool:
        """Request memory for a member of an engine group; poll by repeating the call.

        :returns: whether the reservation is granted
        """
        n_free = self._profile.kv_tokens - self.n_kv_tokens_used
        return self._reservations.request(reservation_id, n_tokens, n_free)

    def n_reserved_left(self, reservation_id: str) -> int:
        """:returns: memory of a granted reservation that its sequences leave unused"""
        reserved = self._reservations.get(reservation_id)
        if reserved is None:
            return 0
        used = sum(
            sequence.n_kv_tokens
            for sequence in self
            if sequence.reservation_id == reservation_id
        )
        return reserved.n_tokens - used

    def release(self, reservation_id: str) -> bool:
        """Release a reservation and cancel the sequences that use it.

        :returns: whether a granted or waiting reservation was removed
        """
        for sequence in list(self):
            if sequence.reservation_id == reservation_id:
                self.cancel(sequence.sequence_id)
        return self._reservations.release(reservation_id)

    def step(self) -> Step:
        """Run one step of the batch.

        :returns: its duration and its effects
        """
        self._fill_batch()
        duration_ms = self._profile.step_ms
        budget = self._profile.max_step_tokens
        cached: list[int] = []
        evicted: list[int] = []
        emitted: list[str] = []
        for sequence in sorted(self._running.values(), key=_scheduling_key):
            if sequence.n_to_prefill == 0:
                duration_ms += self._profile.decode_ms_per_sequence
                emitted.append(sequence.sequence_id)
                continue
            n_tokens = min(budget, sequence.n_to_prefill)
            budget -= n_tokens
            n_before = sequence.n_context_tokens + sequence.n_prefilled
            duration_ms += self._prefill_ms(n_before, n_tokens)
            sequence.n_prefilled += n_tokens
            if n_tokens and sequence.n_to_prefill == 0:
                added, removed = self._cache.add(sequence.prefix_hashes)
                cached.extend(added)
                evicted.extend(removed)
                emitted.append(sequence.sequence_id)
        finished = self._emit(emitted)
        return Step(
            duration_ms, tuple(emitted), finished, tuple(cached), tuple(evicted)
        )

    def _emit(self, emitted: list[str]) -> tuple[str, ...]:
        finished = []
        for sequence_id in emitted:
            sequence = self._running[sequence_id]
            sequence.n_generated += 1
            if sequence.is_finished:
                self.cancel(sequence_id)
                finished.append(sequence_id)
        return tuple(finished)

    def _fill_batch(self) -> None:
        """Move waiting sequences to the batch, in order of priority and arrival.

        A sequence that does not fit in free memory blocks those behind it, because
        smaller ones would starve it otherwise. It does not block a sequence whose
        memory is reserved: the memory that it waits for may belong to that very
        reservation, and both would wait for each other.
        """
        is_full = False
        for sequence in sorted(self._waiting.values(), key=_scheduling_key):
            if len(self._running) >= self._profile.max_batch:
                return
            n_tokens = _unreserved_tokens(sequence)
            if n_tokens and (is_full or not self._has_memory(n_tokens)):
                n_reserved = self._reservations.n_granted_tokens
                is_earmarked = self._reservations.n_earmarked_tokens + n_reserved > 0
                is_full = is_full or not is_earmarked
                continue
            self._admit(sequence)

    def _has_memory(self, n_tokens: int) -> bool:
        return self.n_kv_tokens_committed + n_tokens <= self._profile.kv_tokens

    def _admit(self, sequence: Sequence) -> None:
        del self._waiting[sequence.sequence_id]
        self._running[sequence.sequence_id] = sequence
        self._n_running_tokens += _unreserved_tokens(sequence)
        n_cached = self._cache.n_cached(sequence.prefix_hashes)
        sequence.n_prefilled = max(
            sequence.n_prefilled, min(n_cached, sequence.n_prompt_tokens - 1)
        )

    def _prefill_ms(self, n_before: int, n_tokens: int) -> float:
        short_context_ms = n_tokens / self._profile.prefill_tokens_per_s * MS_PER_SECOND
        mean_position = n_before + n_tokens / 2
        return short_context_ms * (1 + mean_position / self._profile.attention_tokens)


def _unreserved_tokens(sequence: Sequence) -> int:
    """:returns: memory that a sequence takes outside of reservations"""
    return 0 if sequence.reservation_id else sequence.n_kv_tokens


def _scheduling_key(sequence: Sequence) -> tuple[int, int]:
    return sequence.priority, sequence.arrival_number


__all__ = ("EngineModel", "Step")
