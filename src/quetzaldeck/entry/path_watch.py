"""Finds out whether this VM reaches upstreams, and reports what it finds.

Attempts tell what they hear from upstreams, or that they fail; upstreams that may be
out of reach are probed on new connections. The decisions are in
:mod:`quetzaldeck.decisions.paths`.
"""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.paths import PathMonitor, PathVerdict
from quetzaldeck.gateway.messages import ObservePath
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    import random
    from collections.abc import Callable, Coroutine, Mapping

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.paths.monitor import ProbedUpstream
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.routing import Replica
    from quetzaldeck.telemetry import UpstreamMetrics

    Probe = Callable[[Replica], Coroutine[object, object, bool]]
    ReadReplicas = Callable[[], Mapping[str, Replica]]

TICK_MS = 100.0
"""Interval at which silent attempts and due probes are looked for."""

PROBE_WAIT_MS = 50.0
"""Interval at which a result of demanded probes is looked for. Many checks may wait at
once, when all replicas seem to crash."""

CONFIRM_WAIT_MS = 100.0
"""Time for a probe before a request from another VM is taken. That VM may ask others,
and an upstream that is reached answers sooner."""


class PathWatch:
    """Owns the probes of upstreams that may be out of reach.

    :param read_replicas: returns the replicas that are known, by id
    :param accepts_work: returns whether a replica may get new work
    :param probe: asks a replica on a new connection; returns whether it answers in a
        time during which this VM has run
    :param dispatch: receives verdicts, and knows what other VMs report
    """

    def __init__(
        self,
        clock: Clock,
        read_replicas: ReadReplicas,
        accepts_work: Callable[[Replica], bool],
        probe: Probe,
        dispatch: DispatchTask,
        metrics: UpstreamMetrics,
        *,
        random_state: random.Random,
    ) -> None:
        self._clock = clock
        self._read_replicas = read_replicas
        self._accepts_work = accepts_work
        self._probe = probe
        self._dispatch = dispatch
        self._metrics = metrics
        self._monitor = PathMonitor(
            dispatch.find_peer_answered_ms, random_state=random_state
        )
        self._probing: dict[str, asyncio.Task[None]] = {}
        self._logged: dict[str, PathVerdict] = {}

    @property
    def monitor(self) -> PathMonitor:
        """:returns: what is known of the paths"""
        return self._monitor

    def apply_replicas(self) -> None:
        """Use the current replicas that may get new work.

        Those that leave show nothing by ending. Those of evacuated zones are not
        probed, as no request has to reach them.
        """
        self._monitor.set_upstreams(
            (replica.replica_id, replica.service, replica.availability_zone)
            for replica in self._read_replicas().values()
            if self._accepts_work(replica)
        )

    def note_sent(self, attempt_id: str, upstream: str) -> None:
        """Record that an attempt was sent."""
        self._monitor.note_sent(attempt_id, upstream, self._clock.now_ms())

    def note_ended(self, attempt_id: str) -> None:
        """Record that an attempt is not awaited any more."""
        self._monitor.note_ended(attempt_id)

    def note_heard(self, upstream: str) -> None:
        """Record that an upstream has sent something."""
        self._monitor.note_heard(upstream, self._clock.now_ms())

    def note_failed(
        self, upstream: str, begun_ms: float, *, is_new_connection: bool
    ) -> None:
        """Record that an attempt failed, and probe the path at once if that is due."""
        self._monitor.note_failed(
            upstream, begun_ms, is_new_connection=is_new_connection
        )
        self._advance()

    def may_hand_over(self, service: str) -> bool:
        """:returns: whether a request that this VM can't serve is offered to another"""
        return self._monitor.may_hand_over(service, self._clock.now_ms())

    def prefers_hand_over(self, service: str) -> bool:
        """:returns: whether another VM should serve a request, as the path is just back

        See :meth:`PathMonitor.prefers_hand_over`.
        """
        return self._monitor.prefers_hand_over(service, self._clock.now_ms())

    def note_served_elsewhere(self, service: str) -> None:
        """Record that another VM has served a request that was handed over."""
        self._monitor.note_served_elsewhere(service, self._clock.now_ms())

    async def may_conclude(self, replica: Replica, since_ms: float) -> bool:
        """Check whether a failure to reach a replica says anything about the replica.

        :param since_ms: when connections to it broke
        :returns: ``False`` if this VM's path is the fault, or if all upstreams of all
            services are out of reach, as far as can be known within the time in which
            other VMs report their answers
        """
        name = replica.replica_id
        begun_ms = self._clock.now_ms()
        while True:
            now_ms = self._clock.now_ms()
            may_conclude = self._monitor.judge_failure(
                name, replica.service, since_ms, begun_ms, now_ms
            )
            if may_conclude is not None:
                return may_conclude
            self._monitor.demand_probes(name, now_ms)
            self._advance()
            await asyncio.sleep(PROBE_WAIT_MS / MS_PER_SECOND)

    async def confirm(self, service: str, max_wait_ms: float) -> bool:
        """Check that upstreams of a service are reached, with a probe if need be.

        A VM without callers, or one that has just started, does not know whether it is
        partitioned itself.

        :param max_wait_ms: time that the request has left
        :returns: ``False`` if nothing was received recently and no probe is answered in
            time
        """
        path = self._monitor.find_path(service)
        if path is None:
            return True
        since_ms = self._clock.now_ms() - self._monitor.bounds.evidence_ms
        try:
            async with RunningTimeout(min(CONFIRM_WAIT_MS, max_wait_ms)):
                while path.heard_ms < since_ms:
                    path.demand_probe(self._clock.now_ms())
                    self._advance()
                    probing = self._probing.get(service)
                    if path.lost_ms is not None or probing is None:
                        return False
                    await asyncio.wait((probing,))
        except TimeoutError:
            return False
        return True

    async def run(self) -> None:
        """Look for silent attempts and due probes until cancelled."""
        try:
            while True:
                await asyncio.sleep(TICK_MS / MS_PER_SECOND)
                self._advance()
        finally:
            for probing in self._probing.values():
                probing.cancel()

    def _advance(self) -> None:
        """Start due probes. Services do not wait for the probes of one that hangs."""
        probed = self._monitor.choose_probed(self._clock.now_ms(), self._probing)
        by_service: dict[str, list[ProbedUpstream]] = {}
        for item in probed:
            by_service.setdefault(item.service, []).append(item)
        for service, items in by_service.items():
            probing = asyncio.create_task(self._run_probes(items))
            self._probing[service] = probing
            probing.add_done_callback(partial(self._finish_probes, service))
        self._report_verdicts()

    def _finish_probes(self, service: str, _: asyncio.Task[None]) -> None:
        del self._probing[service]

    async def _run_probes(self, probed: list[ProbedUpstream]) -> None:
        replicas = self._read_replicas()
        tasks = {
            asyncio.create_task(self._probe(replicas[item.upstream])): item
            for item in probed
            if item.upstream in replicas
        }
        results: dict[ProbedUpstream, bool] = {}
        pending = set(tasks)
        try:
            # One answer shows that the path works, and others may hang.
            while pending and not any(results.values()):
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                results.update({tasks[task]: task.result() for task in done})
        finally:
            for task in pending:
                task.cancel()
        for is_answered in results.values():
            self._metrics.path_probes.labels(
                "answered" if is_answered else "unanswered"
            ).inc()
        self._monitor.note_probes(results, self._clock.now_ms())
        self._report_verdicts()

    def _report_verdicts(self) -> None:
        now_ms = self._clock.now_ms()
        for service, verdict in self._monitor.pop_changed_verdicts(now_ms).items():
            self._dispatch.send(ObservePath(service, verdict))
            for other in PathVerdict:
                gauge = self._metrics.paths.labels(service, other.value)
                gauge.set(float(other is verdict))
            before = self._logged.get(service, PathVerdict.REACHED)
            if verdict is not PathVerdict.DOUBTED and verdict is not before:
                self._logged[service] = verdict
                self._log(service, verdict, now_ms)

    def _log(self, service: str, verdict: PathVerdict, now_ms: float) -> None:
        path = self._monitor.find_path(service)
        if path is None:
            return
        lost_ms = path.lost_ms
        log_event(
            "path_judged",
            level="INFO" if verdict is PathVerdict.REACHED else "WARNING",
            service=service,
            verdict=verdict.value,
            failed=",".join(sorted(path.failed)),
            silent_ms=now_ms - path.heard_ms,
            lost_ms=0.0 if lost_ms is None else now_ms - lost_ms,
        )


__all__ = ("PathWatch",)
