"""Starts a VM's attempts at the simulated upstreams and cancels them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.bench.attempt_watch import AttemptWatch
from quetzaldeck.bench.model_engine import ModelEngine
from quetzaldeck.bench.pass_engine import PassEngine
from quetzaldeck.bench.prefill_group import PrefillGroup
from quetzaldeck.bench.spread_group import SpreadGroup
from quetzaldeck.bench.spread_read import SpreadRead

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.bench_upstream import BenchUpstream
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.decisions.groups import GroupBounds, GroupPlan


class AttemptLauncher:
    """Simulates the network between a VM and the upstreams.

    :param latency_ms: one-way latency
    :param groups: limits of group reservations, for prompts larger than one engine's
        memory
    :param abandons_silent: whether silent attempts are abandoned as by an entry VM
    """

    def __init__(
        self,
        upstreams: Mapping[str, BenchUpstream],
        events: EventQueue,
        *,
        latency_ms: float,
        groups: GroupBounds,
        watches_silence: bool,
    ) -> None:
        self._upstreams = upstreams
        self._events = events
        self._latency_ms = latency_ms
        self._groups = groups
        self._watches_silence = watches_silence

    def launch(self, attempt: BenchAttempt) -> None:
        """Start an attempt; it reaches its upstream one latency later."""
        if self._watches_silence:
            attempt.watch = AttemptWatch(attempt, self._events)
            attempt.watch.begin()
        attempt.spread = self._spread(attempt)
        if attempt.dispatch.plan is not None:
            attempt.group = self._build_group(attempt, attempt.dispatch.plan)
            self._events.after(self._latency_ms, attempt.group.begin)
            return
        upstream = self._upstreams[attempt.dispatch.upstreams[0]]
        self._events.after(self._latency_ms, partial(self._arrive, upstream, attempt))

    def cancel(self, attempt: BenchAttempt) -> None:
        """Release everything that an attempt holds at upstreams."""
        if attempt.group is not None:
            attempt.group.release()
        for name in attempt.dispatch.upstreams:
            cancel = partial(self._upstreams[name].cancel, attempt.attempt_id)
            self._events.after(self._latency_ms, cancel)

    def _arrive(self, upstream: BenchUpstream, attempt: BenchAttempt) -> None:
        if attempt.vm.is_running(attempt):
            upstream.arrive(attempt)

    def _build_group(
        self, attempt: BenchAttempt, plan: GroupPlan
    ) -> PrefillGroup | SpreadGroup:
        upstreams = [self._upstreams[name] for name in plan.upstreams]
        kind = SpreadGroup if attempt.spread is not None else PrefillGroup
        return kind(
            attempt,
            [upstream for upstream in upstreams if isinstance(upstream, ModelEngine)],
            plan,
            self._events,
            latency_ms=self._latency_ms,
            bounds=self._groups,
        )

    def _spread(self, attempt: BenchAttempt) -> SpreadRead | None:
        """:returns: the division of the prompt among engines; ``None`` for one engine"""
        dispatch = attempt.dispatch
        names = (*reversed(dispatch.upstreams), *dispatch.helpers)
        engines = [self._upstreams[name] for name in names]
        readers = [engine for engine in engines if isinstance(engine, PassEngine)]
        if len(readers) <= 1:
            return None
        plan = dispatch.plan
        return SpreadRead(
            attempt,
            readers,
            self._events,
            latency_ms=self._latency_ms,
            n_reserved_tokens=0 if plan is None else sum(plan.reserved_tokens),
        )


__all__ = ("AttemptLauncher",)
