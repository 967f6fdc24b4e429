"""An engine that works in passes, by the figures that its operator states.

While it writes, a pass is ``stride`` steps, and each step reads up to ``chunk_tokens``
of the prompts that wait; what arrives meanwhile joins at the end of the pass. Parts of
prompts that other engines answer are read first. A request holds its whole memory from
the moment at which it is taken into the batch, so none is ever put back: engines that
give memory out as it is needed take more requests at once, and put some back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.bundle.engine_figures import EngineFigures
    from quetzaldeck.engine_model.pass_work import PassWork

TOKENS_PER_K = 1_000.0


class Pass(NamedTuple):
    """Result of one pass.

    :param duration_ms: how long it takes
    :param written: ids of the requests of which an event appears at its end
    :param finished: ids of those whose last event that is
    :param read: ids of parts that are read through, of spread prompts answered here too
    """

    duration_ms: float
    written: tuple[str, ...] = ()
    finished: tuple[str, ...] = ()
    read: tuple[str, ...] = ()


class PassModel:
    """State of one engine; it does no I/O and reads no clock.

    :param figures: what the operator states
    """

    def __init__(self, figures: EngineFigures) -> None:
        self._figures = figures
        self._waiting: dict[str, PassWork] = {}
        self._batch: dict[str, PassWork] = {}
        self._reserved: dict[str, int] = {}
        self._n_submitted = 0

    @property
    def n_running(self) -> int:
        """:returns: requests in the batch, parts of others not counted"""
        return sum(not work.is_part for work in self._batch.values())

    @property
    def n_waiting(self) -> int:
        """:returns: requests and parts that wait for the next pass, or for a slot"""
        return len(self._waiting)

    @property
    def n_parts(self) -> int:
        """:returns: parts of prompts that other engines answer"""
        return sum(work.is_part for work in (*self._batch.values(), *self._queue()))

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held by the batch and set aside"""
        in_batch = sum(work.n_kv_tokens for work in self._batch.values())
        return in_batch + sum(self._reserved.values())

    @property
    def is_idle(self) -> bool:
        """:returns: whether a pass would do nothing"""
        return not self._batch and not self._waiting

    def submit(self, work: PassWork) -> None:
        """Let work wait for the next pass."""
        self._n_submitted += 1
        work.n_order = self._n_submitted
        self._waiting[work.work_id] = work

    def note_parts_read(self, work_id: str) -> bool:
        """Take that all other parts of a spread prompt are read.

        :returns: whether its answer ends with the event that this makes
        """
        work = self._batch[work_id]
        work.note_parts_read()
        if work.is_finished:
            del self._batch[work_id]
        return work.is_finished

    def cancel(self, work_id: str) -> bool:
        """:returns: whether there was such work"""
        waiting = self._waiting.pop(work_id, None)
        running = self._batch.pop(work_id, None)
        return waiting is not None or running is not None

    def reserve(self, reservation_id: str, n_tokens: int) -> bool:
        """:returns: whether the memory is set aside; asking again renews it"""
        if reservation_id in self._reserved:
            return True
        if self.n_kv_tokens_used + n_tokens > self._figures.kv_tokens:
            return False
        self._reserved[reservation_id] = n_tokens
        return True

    def release(self, reservation_id: str) -> bool:
        """:returns: whether anything was set aside"""
        return self._reserved.pop(reservation_id, None) is not None

    def run_pass(self) -> Pass:
        """Run one pass; its events appear after its duration.

        :returns: what it gave; its duration is 0 if all that is left waits for parts
            that other engines read
        """
        self._fill_batch()
        writers = [work for work in self._batch.values() if work.is_writing]
        n_steps = self._figures.stride if writers else 1
        unread = [work for work in self._batch.values() if work.n_unread_tokens]
        read_ms = self._read(n_steps * self._figures.chunk_tokens)
        if not writers and not read_ms:
            return Pass(0.0)
        duration_ms = n_steps * self._step_ms(writers) + read_ms
        done = [work for work in self._batch.values() if work.is_read]
        written = [work for work in done if not work.is_part]
        for work in written:
            work.n_written += 1
        ended = [work for work in done if work.is_finished]
        for work in ended:
            del self._batch[work.work_id]
        return Pass(
            duration_ms,
            tuple(work.work_id for work in written),
            tuple(work.work_id for work in ended if not work.is_part),
            tuple(
                work.work_id
                for work in unread
                if work.goes_first and not work.n_unread_tokens
            ),
        )

    def _step_ms(self, writers: list[PassWork]) -> float:
        figures = self._figures
        context_ms = sum(
            work.n_context_tokens / TOKENS_PER_K * figures.context_ms_per_k
            for work in writers
        )
        return figures.step_ms + len(writers) * figures.sequence_ms + context_ms

    def _read(self, max_tokens: int) -> float:
        """:returns: the time that is spent on reading"""
        read_ms = 0.0
        for work in sorted(self._batch.values(), key=_turn):
            n_tokens, work_ms = work.read(max_tokens)
            max_tokens -= n_tokens
            read_ms += work_ms
        return read_ms

    def _fill_batch(self) -> None:
        """Take in what waits: all parts, and requests while slots and memory last."""
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
        return sorted(self._waiting.values(), key=_turn)


def _turn(work: PassWork) -> tuple[bool, int, int]:
    return not work.goes_first, work.priority, work.n_order


__all__ = ("Pass", "PassModel")
