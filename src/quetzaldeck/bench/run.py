"""Runs a scenario: drives real schedulers and simulated upstreams with events."""

from __future__ import annotations

import random
from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.bench.bench_engine import BenchEngine
from quetzaldeck.bench.bench_service import BenchService
from quetzaldeck.bench.bench_vm import BenchVm
from quetzaldeck.bench.call_result import CallResult, Outcome
from quetzaldeck.bench.event_queue import EventQueue
from quetzaldeck.bench.fault import FaultKind
from quetzaldeck.bench.load_sharing import LoadSharing
from quetzaldeck.bench.model_engine import ModelEngine
from quetzaldeck.bench.pass_engine import PassEngine
from quetzaldeck.bench.probed_admission import ProbedAdmission
from quetzaldeck.bench.run_result import RunResult
from quetzaldeck.bench.submission import CallState
from quetzaldeck.decisions.policies import Policies, build_scheduler
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_upstream import BenchUpstream
    from quetzaldeck.bench.fault import Fault
    from quetzaldeck.bench.scenario import Scenario
    from quetzaldeck.bundle import UpstreamSpec
    from quetzaldeck.decisions import LoadReport
    from quetzaldeck.decisions.limits import UsageUpdate
    from quetzaldeck.decisions.poison import CrashSighting
    from quetzaldeck.outcomes import Failure

PACE_INTERVAL_MS = 1_000.0
"""Interval at which VMs read the pace (slowdown factor) of every engine."""


def run_scenario(scenario: Scenario, policies: Policies | None = None) -> RunResult:
    """Run a scenario to its end; the result is deterministic.

    :param policies: names of registered policies; the gateway's defaults if omitted
    """
    return Driver(scenario, policies or Policies()).run()


class Driver:
    """Holds the event queue, VMs and upstreams of one run."""

    def __init__(self, scenario: Scenario, policies: Policies) -> None:
        self._scenario = scenario
        self._policies = policies
        self._events = EventQueue()
        self._random_state = random.Random(scenario.random_state)
        self._results: dict[str, CallResult] = {}
        self._states = {call.call_id: CallState(call) for call in scenario.calls}
        self._leaving: set[str] = set()
        self._has_reports = scenario.shape.figures is None
        bundle = scenario.build_bundle()
        self._upstreams = {
            spec.name: _upstream_class(spec)(spec, scenario.shape, self._events)
            for spec in bundle.upstreams
        }
        self._vms = [self._build_vm(index) for index in range(scenario.shape.n_vms)]
        for vm in self._vms:
            vm.scheduler.apply_bundle(bundle)

    def run(self) -> RunResult:
        """:returns: the results of all calls, after the run"""
        for call in self._scenario.calls:
            state = self._states[call.call_id]
            self._events.at(call.at_ms, partial(self._send, state))
        for fault in self._scenario.faults:
            self._events.at(fault.at_ms, partial(self._begin_fault, fault))
            if fault.until_ms is not None:
                self._events.at(fault.until_ms, partial(self._end_fault, fault))
        end_ms = self._end_ms()
        self._sample_loads()
        if self._scenario.shape.figures is not None:
            shape = self._scenario.shape
            latency_ms = shape.peer_lag_ms or shape.latency_ms
            LoadSharing(self._vms, self._events, latency_ms=latency_ms).start()
            self._sample_paces()
        last_ms = max((call.at_ms for call in self._scenario.calls), default=0.0)
        self._events.run(last_ms)
        utilisation = self._utilisation(last_ms)
        self._events.run(end_ms)
        for state in self._states.values():
            if state.call.call_id not in self._results:
                self._record(state, Outcome.LOST, None)
        results = tuple(self._results[call.call_id] for call in self._scenario.calls)
        engines = self._list_engines()
        return RunResult(
            self._scenario,
            self._policies,
            results,
            utilisation,
            sum(engine.n_kv_tokens_used for engine in engines),
            sum(engine.is_down for engine in engines),
            frozenset(
                request_id
                for vm in self._vms
                if isinstance(vm.scheduler.admission, ProbedAdmission)
                for request_id in vm.scheduler.admission.probed
            ),
        )

    def _end_ms(self) -> float:
        calls = self._scenario.calls
        last_ms = max((call.at_ms + call.deadline_ms for call in calls), default=0.0)
        longest_ms = max((call.deadline_ms for call in calls), default=0.0)
        n_resends = max((call.max_resends for call in calls), default=0)
        return last_ms + 2 * n_resends * longest_ms + self._scenario.drain_ms

    def _build_vm(self, index: int) -> BenchVm:
        shape = self._scenario.shape
        zone = shape.zones[index % len(shape.zones)]
        scheduler = build_scheduler(
            self._policies,
            clock=self._events.clock,
            random_state=random.Random(self._scenario.random_state * 1_000 + index),
            availability_zone=zone,
            groups=shape.groups,
        )
        return BenchVm(
            f"vm-{index}",
            zone,
            scheduler,
            self._upstreams,
            self._events,
            latency_ms=shape.latency_ms,
            on_end=self._handle_end,
            groups=shape.groups,
            abandons_silent=shape.figures is not None,
        )

    def _send(self, state: CallState) -> None:
        """Submit a call to its VM, or to a random live one if that is down or unset."""
        live = [vm for vm in self._vms if not vm.is_down]
        if not live:
            self._record(state, Outcome.CUT_OFF, None)
            return
        preferred = state.call.vm
        if preferred is not None and not self._vms[preferred].is_down:
            self._vms[preferred].submit(state)
            return
        self._random_state.choice(live).submit(state)

    def _handle_end(
        self, state: CallState, outcome: Outcome, failure: Failure | None
    ) -> None:
        """Record the outcome of a submission, or schedule the caller's resend."""
        may_resend = state.n_submissions <= state.call.max_resends
        if may_resend and outcome is Outcome.CUT_OFF and state.call.is_repeatable:
            self._events.after(0.0, lambda: self._send(state))
            return
        if (
            may_resend
            and failure is not None
            and failure.ran is Ran.NO
            and failure.retry_after_ms is not None
        ):
            self._events.after(failure.retry_after_ms, lambda: self._send(state))
            return
        self._record(state, outcome, failure)

    def _record(
        self, state: CallState, outcome: Outcome, failure: Failure | None
    ) -> None:
        call = state.call
        now_ms = self._events.now_ms
        first_ms = state.first_token_ms
        self._results[call.call_id] = CallResult(
            call,
            outcome,
            now_ms,
            ttft_ms=None if first_ms is None else first_ms - call.at_ms,
            total_ms=now_ms - call.at_ms,
            reason="" if failure is None else failure.reason.value,
            ran="" if failure is None else failure.ran.value,
            n_executions=state.n_executions,
            n_submissions=state.n_submissions,
            submitted_ms=tuple(state.submitted_ms),
            retry_after_ms=None if failure is None else failure.retry_after_ms,
            upstreams=state.upstreams,
            longest_gap_ms=state.longest_gap_ms,
        )

    def _sample_loads(self) -> None:
        """Sample the load of every upstream; VMs receive it ``report_lag_ms`` later."""
        shape = self._scenario.shape
        if self._has_reports:
            reports = [u.report() for u in self._upstreams.values() if u.is_reporting]
            self._events.after(
                shape.report_lag_ms, lambda: self._deliver_reports(reports)
            )
        self._send_updates()
        self._events.after(shape.report_interval_ms, self._sample_loads)

    def _sample_paces(self) -> None:
        """Sample the pace of every engine; VMs receive it ``report_lag_ms`` later."""
        paces = [
            (engine.spec.name, engine.slow_factor)
            for engine in self._list_engines()
            if engine.is_reporting
        ]
        lag_ms = self._scenario.shape.report_lag_ms
        self._events.after(lag_ms, partial(self._deliver_paces, paces))
        self._events.after(PACE_INTERVAL_MS, self._sample_paces)

    def _deliver_paces(self, paces: list[tuple[str, float]]) -> None:
        for vm in self._vms:
            if not vm.is_down:
                vm.scheduler.fleet.observe_paces(paces)

    def _send_updates(self) -> None:
        """Send each VM's crash sightings and usage updates to the other VMs."""
        for vm in self._vms:
            if vm.is_down:
                continue
            for sightings in vm.scheduler.fleet.pop_crash_sightings():
                lag_ms = self._scenario.shape.update_lag_ms
                aged = tuple(s._replace(age_ms=s.age_ms + lag_ms) for s in sightings)
                self._events.after(lag_ms, partial(self._deliver_crashes, vm, aged))
            for update in vm.scheduler.limits.take_updates(self._events.now_ms):
                lag_ms = self._scenario.shape.update_lag_ms
                self._events.after(lag_ms, partial(self._deliver_usage, vm, update))

    def _deliver_crashes(
        self, sender: BenchVm, sightings: tuple[CrashSighting, ...]
    ) -> None:
        for vm in self._vms:
            if vm is not sender and not vm.is_down:
                vm.scheduler.fleet.observe_crashes(sightings)

    def _deliver_usage(self, sender: BenchVm, update: UsageUpdate) -> None:
        for vm in self._vms:
            if vm is not sender and not vm.is_down:
                vm.scheduler.limits.observe(sender.name, update, self._events.now_ms)

    def _deliver_reports(self, reports: list[LoadReport]) -> None:
        for vm in self._vms:
            if not vm.is_down:
                vm.scheduler.fleet.observe(reports, tuple(self._leaving))
                vm.scheduler.limits.n_vms = sum(not v.is_down for v in self._vms)
                vm.poll()

    def _begin_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.CRASH:
                self._upstreams[fault.target].crash()
            case FaultKind.SLOW:
                self._upstreams[fault.target].slow_factor = fault.factor
            case FaultKind.SILENT:
                self._upstreams[fault.target].silence_connections()
            case FaultKind.PAUSE:
                self._upstreams[fault.target].pause()
            case FaultKind.LEAVING:
                self._leaving.add(fault.target)
            case FaultKind.ZONE_LOSS:
                for vm in self._list_vms(fault.target):
                    vm.crash()
                for upstream in self._list_upstreams(fault.target):
                    upstream.crash()
            case FaultKind.STALE_REPORTS:
                self._has_reports = False

    def _end_fault(self, fault: Fault) -> None:
        match fault.kind:
            case FaultKind.CRASH:
                self._upstreams[fault.target].restart()
            case FaultKind.SLOW:
                self._upstreams[fault.target].slow_factor = 1.0
            case FaultKind.PAUSE:
                self._upstreams[fault.target].resume()
            case FaultKind.LEAVING:
                self._leaving.discard(fault.target)
            case FaultKind.ZONE_LOSS:
                for upstream in self._list_upstreams(fault.target):
                    upstream.restart()
            case FaultKind.STALE_REPORTS:
                self._has_reports = True
            case FaultKind.SILENT:
                pass

    def _list_engines(self) -> list[ModelEngine]:
        return [u for u in self._upstreams.values() if isinstance(u, ModelEngine)]

    def _list_vms(self, zone: str) -> list[BenchVm]:
        return [vm for vm in self._vms if vm.availability_zone == zone]

    def _list_upstreams(self, zone: str) -> list[BenchUpstream]:
        upstreams = self._upstreams.values()
        return [u for u in upstreams if u.spec.availability_zone == zone]

    def _utilisation(self, now_ms: float) -> float:
        engines = self._list_engines()
        if not engines or not now_ms:
            return 0.0
        return sum(engine.busy_ms for engine in engines) / (len(engines) * now_ms)


def _upstream_class(spec: UpstreamSpec) -> type[BenchUpstream]:
    if spec.kind == "service":
        return BenchService
    return BenchEngine if spec.figures is None else PassEngine


__all__ = ("Driver", "run_scenario")
