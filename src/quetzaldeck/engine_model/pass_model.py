"""Cost model of an engine by scheduling passes, from its configured figures.

While requests decode, a pass consists of ``stride`` steps, and each step prefills up to
``chunk_tokens`` of the pending prompts. Requests that arrive during a pass join after
it. Prompt parts for other engines are prefilled first. A request holds all of its
memory from the time it joins the batch, so none is ever preempted. Engines that
allocate memory on demand run more requests at once and preempt some of them.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.engine_model.pass_work import PassWork

TOKENS_PER_K = 1_000.0


class Pass(NamedTuple):
    """Result of one pass.

    :param duration_ms: duration of the pass
    :param emitted: ids of the requests that emit an event at its end
    :param finished: ids of the requests for which that event is the last
    :param prefilled: ids of prompt parts whose prefill is complete, including the own
        parts of spread prompts that this engine answers
    """

    duration_ms: float
    emitted: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    prefilled: tuple[str, ...] = ()


class PassModel:
    """State of one engine, without I/O and without a clock.

    :param figures: configured figures of the engine
    """

    def __init__(self, figures: EngineFigures) -> None:
        self._figures = figures
        self._waiting: dict[str, PassWork] = {}
        self._batch: dict[str, PassWork] = {}
        self._reserved: dict[str, int] = {}
        self._n_submitted = 0

    @property
    def n_running(self) -> int:
        """:returns: number of requests in the batch, without parts for other engines"""
        return sum(not work.is_part for work in self._batch.values())

    @property
    def n_waiting(self) -> int:
        """:returns: number of requests and parts that are not in the batch yet"""
        return len(self._waiting)

    @property
    def n_parts(self) -> int:
        """:returns: number of prompt parts for other engines, running and waiting"""
        return sum(work.is_part for work in (*self._batch.values(), *self._queue()))

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held by the batch and by reservations"""
        n_batch_tokens = sum(work.n_kv_tokens for work in self._batch.values())
        return n_batch_tokens + sum(self._reserved.values())

    @property
    def is_idle(self) -> bool:
        """:returns: whether there is neither running nor waiting work"""
        return not self._batch and not self._waiting

    def is_waiting(self, work_id: str) -> bool:
        """:returns: whether work has not joined the batch yet"""
        return work_id in self._waiting

    def submit(self, work: PassWork) -> None:
        """Add work to the queue for the next pass."""
        self._n_submitted += 1
        work.arrival_number = self._n_submitted
        self._waiting[work.work_id] = work

    def note_parts_prefilled(self, work_id: str) -> bool:
        """Note that all other parts of a spread prompt are prefilled.

        :returns: whether the resulting event is the last one of the answer
        """
        work = self._batch[work_id]
        work.note_parts_prefilled()
        if work.is_finished:
            del self._batch[work_id]
        return work.is_finished

    def cancel(self, work_id: str) -> bool:
        """:returns: whether running or waiting work was removed"""
        waiting = self._waiting.pop(work_id, None)
        running = self._batch.pop(work_id, None)
        return waiting is not None or running is not None

    def reserve(self, reservation_id: str, n_tokens: int) -> bool:
        """:returns: whether the memory is reserved; repeated calls are idempotent"""
        if reservation_id in self._reserved:
            return True
        if self.n_kv_tokens_used + n_tokens > self._figures.kv_tokens:
            return False
        self._reserved[reservation_id] = n_tokens
        return True

    def release(self, reservation_id: str) -> bool:
        """:returns: whether a reservation was removed"""
        return self._reserved.pop(reservation_id, None) is not None

    def run_pass(self) -> Pass:
        """Run one pass; its events are emitted at its end.

        :returns: the result of the pass; its duration is 0 if all work left waits for
            prompt parts that other engines prefill
        """
        self._fill_batch()
        decoding = [work for work in self._batch.values() if work.is_decoding]
        n_steps = self._figures.stride if decoding else 1
        to_prefill = [work for work in self._batch.values() if work.n_to_prefill]
        prefill_ms = self._prefill(n_steps * self._figures.chunk_tokens)
        if not decoding and not prefill_ms:
            return Pass(0.0)
        duration_ms = n_steps * self._step_ms(decoding) + prefill_ms
        prefilled = [work for work in self._batch.values() if work.is_prefilled]
        emitted = [work for work in prefilled if not work.is_part]
        for work in emitted:
            work.n_emitted += 1
        finished = [work for work in prefilled if work.is_finished]
        for work in finished:
            del self._batch[work.work_id]
        return Pass(
            duration_ms,
            tuple(work.work_id for work in emitted),
            tuple(work.work_id for work in finished if not work.is_part),
            tuple(
                work.work_id
                for work in to_prefill
                if work.has_precedence and not work.n_to_prefill
            ),
        )

    def _step_ms(self, decoding: list[PassWork]) -> float:
        figures = self._figures
        context_ms = sum(
            work.n_context_tokens / TOKENS_PER_K * figures.context_ms_per_k
            for work in decoding
        )
        return figures.step_ms + len(decoding) * figures.sequence_ms + context_ms

    def _prefill(self, max_tokens: int) -> float:
        """:returns: time spent on prefill"""
        prefill_ms = 0.0
        for work in sorted(self._batch.values(), key=_scheduling_key):
            n_tokens, work_ms = work.prefill(max_tokens)
            max_tokens -= n_tokens
            prefill_ms += work_ms
        return prefill_ms

    def _fill_batch(self) -> None:
        """Move waiting work to the batch as long as slots and memory last.

        Prompt parts for other engines take no slot.
        """
        for work in self._queue():
            has_slot = self.n_running < self._figures.n_slots
            n_kv_tokens = self.n_kv_tokens_used + work.n_kv_tokens
            if not work.is_part and not has_slot:
                continue
            if work.n_kv_tokens and n_kv_tokens > self._figures.kv_tokens:
                continue
            del self._waiting[work.work_id]
            self._batch[work.work_id] = work

    def _queue(self) -> list[PassWork]:
        return sorted(self._waiting.values(), key=_scheduling_key)


def _scheduling_key(work: PassWork) -> tuple[bool, int, int]:
    return not work.has_precedence, work.priority, work.arrival_number


__all__ = ("Pass", "PassModel")
