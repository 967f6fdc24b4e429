"""A simulated group of engines that together hold the prompt of one attempt."""

from __future__ import annotations

from abc import ABC, abstractmethod
from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence as SequenceOf

    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.bench.model_engine import ModelEngine
    from quetzaldeck.decisions.groups import GroupBounds, GroupPlan


class BenchGroup(ABC):
    """Reserves memory for one prompt on all members, or on none.

    :param engines: members in canonical order
    :param latency_ms: one-way latency between the VM and an engine
    :param bounds: how long to wait for a member's reservation
    """

    def __init__(
        self,
        attempt: BenchAttempt,
        engines: SequenceOf[ModelEngine],
        plan: GroupPlan,
        events: EventQueue,
        *,
        latency_ms: float,
        bounds: GroupBounds,
    ) -> None:
        self._attempt = attempt
        self._engines = engines
        self._plan = plan
        self._events = events
        self._latency_ms = latency_ms
        self._bounds = bounds
        self._reservation_id = f"{attempt.attempt_id}.group"
        self._is_finished = False
        self._n_contacted = 0

    @property
    def reservation_id(self) -> str:
        """:returns: id of the reservation that the members' sequences use"""
        return self._reservation_id

    @property
    def n_context_tokens(self) -> int:
        """:returns: prompt tokens that are prefilled on members before the last"""
        return 0

    def begin(self) -> None:
        """Reserve memory on one member after the other, then run the prompt."""
        self._reserve_member(0)

    def release(self) -> None:
        """Release all reservations; messages still in transit have no effect."""
        if self._is_finished:
            return
        self._is_finished = True
        for engine in self._engines[: self._n_contacted]:
            self._send(partial(engine.release, self._reservation_id))

    def note_engine_lost(self, engine: ModelEngine) -> None:
        """Fail the attempt: a member crashed."""
        if not self._is_finished:
            self._fail(engine, AttemptFault.BROKEN, may_have_run=True)

    def _reserve_member(self, index: int) -> None:
        self._n_contacted = index + 1
        wait_ms = self._bounds.member_wait_ms(self._remaining_ms(), len(self._engines))
        self._try_reserve(index, self._events.now_ms + wait_ms)

    def _try_reserve(self, index: int, until_ms: float) -> None:
        if self._is_finished:
            return
        engine = self._engines[index]
        if engine.is_down:
            self._fail(engine, AttemptFault.CONNECT, may_have_run=False)
        elif engine.reserve(self, self._plan.reserved_tokens[index]):
            self._handle_grant(index)
        elif self._events.now_ms >= until_ms:
            self._fail(engine, AttemptFault.NO_ROOM, may_have_run=False)
        else:
            interval_ms = self._bounds.poll_interval_ms
            self._events.after(interval_ms, lambda: self._try_reserve(index, until_ms))

    def _handle_grant(self, index: int) -> None:
        if index + 1 < len(self._engines):
            self._send(lambda: self._reserve_member(index + 1))
            return
        self._attempt.vm.scheduler.note_reserved(self._attempt.attempt_id)
        self._run()

    @abstractmethod
    def _run(self) -> None:
        """Run the prompt; all members have reserved their memory."""

    def _fail(
        self, engine: ModelEngine, fault: AttemptFault, *, may_have_run: bool
    ) -> None:
        self.release()
        self._attempt.vm.fail_attempt(
            self._attempt, fault, may_have_run=may_have_run, upstream=engine.spec.name
        )

    def _remaining_ms(self) -> float:
        return self._attempt.dispatch.request.deadline_ms - self._events.now_ms

    def _send(self, action: Callable[[], None]) -> None:
        self._events.after(self._latency_ms, action)


__all__ = ("BenchGroup",)
