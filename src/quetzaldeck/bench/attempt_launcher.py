"""Carries a VM's attempts to the upstreams of the bench, and calls them off."""

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
    """What lies between a VM and the upstreams.

    :param latency_ms: one way
    :param groups: how memory is set aside for prompts above one engine's
    :param watches_silence: whether silent attempts are left as an entry VM leaves them
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
        """Send an attempt on its way."""
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
        """Release what an attempt holds, wherever it is."""
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
        """:returns: the parts of a prompt that engines read beside the one asked"""
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
