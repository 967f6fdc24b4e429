"""States of all upstreams in the current bundle, as one VM knows them."""

from __future__ import annotations

import random
from collections import Counter
from statistics import median
from typing import TYPE_CHECKING

from quetzaldeck.decisions.availability import UpstreamStatements
from quetzaldeck.decisions.estimation import predict_first_token_ms
from quetzaldeck.decisions.pools import find_failing
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable, Iterator

    from quetzaldeck.bundle.document import Bundle, UpstreamSpec
    from quetzaldeck.decisions.health import HealthState
    from quetzaldeck.decisions.health.outcomes import Outcomes
    from quetzaldeck.decisions.loads.load_report import LoadReport
    from quetzaldeck.decisions.request import Request


class UpstreamTable:
    """Upstream states, indexed by name and by the model or service they serve.

    :param random_state: spreads the times at which VMs return to rested upstreams
    """

    def __init__(self, *, random_state: random.Random | None = None) -> None:
        self._statements = UpstreamStatements(
            random_state=random_state or random.Random(0)
        )
        self._states: dict[str, UpstreamState] = {}
        self._by_target: dict[str, list[UpstreamState]] = {}
        self._retired: dict[str, UpstreamState] = {}
        self._limited: set[str] = set()
        self._evacuated_zones: frozenset[str] = frozenset()
        self._open_by_target = self._by_target
        self._is_evacuation_new = False

    def __iter__(self) -> Iterator[UpstreamState]:
        return iter(self._states.values())

    def __len__(self) -> int:
        return len(self._states)

    @property
    def statements(self) -> UpstreamStatements:
        """:returns: what upstreams have said of themselves in responses"""
        return self._statements

    def has_restrictions(self, now_ms: float) -> bool:
        """:returns: whether any upstream rests or limits its rate"""
        return bool(self._limited) or self._statements.has_rests(now_ms)

    @property
    def has_rate_limits(self) -> bool:
        """:returns: whether any upstream limits its rate"""
        return bool(self._limited)

    @property
    def has_evacuated_zones(self) -> bool:
        """:returns: whether any zone is evacuated"""
        return bool(self._evacuated_zones)

    def get(self, name: str) -> UpstreamState | None:
        """:returns: state of an upstream, also if dropped while attempts still run"""
        return self._states.get(name) or self._retired.get(name)

    def apply_bundle(self, bundle: Bundle, now_ms: float = 0.0) -> None:
        """Use the upstreams of ``bundle``, keeping the states of known ones.

        A dropped upstream keeps its state until its attempts end. An added one warms up
        with gradually increasing load, except in the first bundle of this VM: those
        upstreams are new to the VM, but need not be cold.
        """
        is_first = not self._states
        states: dict[str, UpstreamState] = {}
        for spec in bundle.upstreams:
            state = self._states.pop(spec.name, None) or self._retired.get(spec.name)
            if state is None:
                state = UpstreamState(spec, self._statements)
                if not is_first:
                    state.health.start_warm_up(now_ms)
            state.spec = spec
            states[spec.name] = state
        dropped = {**self._retired, **self._states}
        self._retired = {
            name: state
            for name, state in dropped.items()
            if state.n_in_flight and name not in states
        }
        self._states = states
        self._rebuild_index()

    def keep(self, state: UpstreamState) -> UpstreamState:
        """Keep the state of an upstream of which an attempt continues.

        :param state: its state when the attempt was left
        :returns: its state now, which is another one if the upstream was dropped and
            added again meanwhile
        """
        return self.get(state.spec.name) or self._retired.setdefault(
            state.spec.name, state
        )

    def observe(self, reports: Iterable[LoadReport], now_ms: float) -> None:
        """Apply load reports."""
        for report in reports:
            state = self._states.get(report.upstream)
            if state is not None:
                state.observe(report, now_ms)

    def mark_leaving(self, names: Collection[str]) -> None:
        """Mark the upstreams that are listed as leaving, and no others.

        What upstreams have said themselves is not revoked by the list.
        """
        for name, state in self._states.items():
            state.is_listed_leaving = name in names
        self._is_evacuation_new = self.has_evacuated_zones

    def set_evacuated_zones(self, zones: Collection[str]) -> None:
        """Set the zones whose upstreams get no new work, also those added later."""
        if self._evacuated_zones != frozenset(zones):
            self._evacuated_zones = frozenset(zones)
            self._rebuild_index()

    def pop_closures_changed(self) -> bool:
        """:returns: whether requests that wait may have lost their last upstream

        That is, since the last call upstreams changed while a zone is evacuated, or one
        has said that it leaves.
        """
        has_changed, self._is_evacuation_new = self._is_evacuation_new, False
        return self._statements.pop_new_leaving() or has_changed

    def set_rate_limit(
        self,
        name: str,
        requests_per_s: float | None,
        now_ms: float,
        *,
        is_cold: bool = False,
    ) -> None:
        """Set the limit of an upstream; ``None``: there is none.

        :param is_cold: whether it is limited because it is cold
        """
        state = self.get(name)
        if state is not None:
            state.pacing.set_limit(requests_per_s, now_ms, is_cold=is_cold)
        if state is None or requests_per_s is None:
            self._limited.discard(name)
        else:
            self._limited.add(name)

    def count_health(self, now_ms: float) -> Counter[HealthState]:
        """:returns: number of upstreams by health state, each compared to its peers"""
        counts: Counter[HealthState] = Counter()
        for states in self._by_target.values():
            known = [s.health.ms_per_token for s in states]
            latencies = [latency for latency in known if latency is not None]
            peers = median(latencies) if len(latencies) > 1 else None
            counts.update(state.health.state(now_ms, peers) for state in states)
        return counts

    def find_failing(self, now_ms: float) -> dict[str, Outcomes]:
        """:returns: upstreams avoided because some of their requests fail, and why"""
        failing: dict[str, Outcomes] = {}
        for pool in self._by_target.values():
            failing.update(find_failing(pool, now_ms))
        return failing

    def find_slow(self, now_ms: float) -> dict[str, float]:
        """:returns: paces of the engines that report to be slow, by name"""
        return {
            name: state.pace.at(now_ms)
            for name, state in self._states.items()
            if state.pace.is_slow(now_ms)
        }

    def max_prefill_backlog_ms(self, names: Iterable[str], now_ms: float) -> float:
        """:returns: longest prefill backlog among the named engines"""
        states = (self.get(name) for name in names)
        return max(
            (state.prefill_backlog_ms(now_ms) for state in states if state is not None),
            default=0.0,
        )

    def predict_first_token_ms(
        self, name: str, backlog_ms: float, now_ms: float
    ) -> float:
        """:returns: predicted time to the first token; 0 without a configured speed

        :param backlog_ms: prefill backlog of the engine or its busiest helper
        """
        state = self.get(name)
        if state is None or state.spec.figures is None:
            return 0.0
        n_generating = max(0, state.n_requests(now_ms) - 1)
        return predict_first_token_ms(state.spec.figures, n_generating, backlog_ms)

    def list_serving(self, request: Request) -> list[UpstreamState]:
        """:returns: the upstreams that serve the request's model or service

        Without those of evacuated zones, so that the choices that depend on the whole
        pool, such as the engines kept for long prompts, are made among the others.
        """
        return self._open_by_target.get(_target_key(request), [])

    def list_all_serving(self, request: Request) -> list[UpstreamState]:
        """:returns: all upstreams that serve a request, also evacuated ones"""
        return self._by_target.get(_target_key(request), [])

    def _rebuild_index(self) -> None:
        self._by_target = {}
        for state in self._states.values():
            for target in _targets_of(state.spec):
                self._by_target.setdefault(target, []).append(state)
        self._open_by_target = self._by_target
        zones = self._evacuated_zones
        self._is_evacuation_new = bool(zones)
        for state in self._states.values():
            state.is_evacuated = state.spec.availability_zone in zones
        if zones:
            self._open_by_target = {
                target: [state for state in states if not state.is_evacuated]
                for target, states in self._by_target.items()
            }


def _target_key(request: Request) -> str:
    return _service_key(request.service) if request.service else request.model


def _service_key(service: str) -> str:
    return f"service {service}"


def _targets_of(spec: UpstreamSpec) -> tuple[str, ...]:
    if spec.kind == "service":
        return (_service_key(spec.service),)
    return spec.models


__all__ = ("UpstreamTable",)
