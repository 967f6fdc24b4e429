"""Starts a VM's attempts at the simulated upstreams and cancels them."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.bench.attempt_watch import AttemptWatch
from quetzaldeck.bench.model_engine import ModelEngine
from quetzaldeck.bench.pass_engine import PassEngine
from quetzaldeck.bench.prefill_group import PrefillGroup
from quetzaldeck.bench.split_prefill import SplitPrefill
from quetzaldeck.bench.split_prefill_group import SplitPrefillGroup

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
        abandons_silent: bool,
    ) -> None:
        self._upstreams = upstreams
        self._events = events
        self._latency_ms = latency_ms
        self._groups = groups
        self._abandons_silent = abandons_silent

    def launch(self, attempt: BenchAttempt) -> None:
        """Start an attempt; it reaches its upstream one latency later."""
        if self._abandons_silent:
            watch = AttemptWatch(attempt, self._events)
            attempt.watch = watch
            watch.begin()
        attempt.split = self._build_split(attempt)
        if attempt.dispatch.plan is not None:
            group = self._build_group(attempt, attempt.dispatch.plan)
            attempt.group = group
            self._events.after(self._latency_ms, group.begin)
            return
        upstream = self._upstreams[attempt.dispatch.upstreams[0]]
        self._events.after(self._latency_ms, partial(self._accept, upstream, attempt))

    def cancel(self, attempt: BenchAttempt) -> None:
        """Release everything that an attempt holds at upstreams."""
        if attempt.group is not None:
            attempt.group.release()
        for name in attempt.dispatch.upstreams:
            cancel = partial(self._upstreams[name].cancel, attempt.attempt_id)
            self._events.after(self._latency_ms, cancel)

    def _accept(self, upstream: BenchUpstream, attempt: BenchAttempt) -> None:
        if attempt.vm.is_running(attempt):
            upstream.accept(attempt)

    def _build_group(
        self, attempt: BenchAttempt, plan: GroupPlan
    ) -> PrefillGroup | SplitPrefillGroup:
        upstreams = [self._upstreams[name] for name in plan.upstreams]
        kind = SplitPrefillGroup if attempt.split is not None else PrefillGroup
        return kind(
            attempt,
            [upstream for upstream in upstreams if isinstance(upstream, ModelEngine)],
            plan,
            self._events,
            latency_ms=self._latency_ms,
            bounds=self._groups,
        )

    def _build_split(self, attempt: BenchAttempt) -> SplitPrefill | None:
        """:returns: the prompt's division among engines; ``None`` for one engine"""
        dispatch = attempt.dispatch
        names = (*reversed(dispatch.upstreams), *dispatch.helpers)
        engines = [self._upstreams[name] for name in names]
        pass_engines = [engine for engine in engines if isinstance(engine, PassEngine)]
        if len(pass_engines) <= 1:
            return None
        plan = dispatch.plan
        return SplitPrefill(
            attempt,
            pass_engines,
            self._events,
            latency_ms=self._latency_ms,
            n_reserved_tokens=0 if plan is None else sum(plan.reserved_tokens),
        )


__all__ = ("AttemptLauncher",)
