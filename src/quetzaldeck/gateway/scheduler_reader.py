"""What other tasks may read of the scheduler; nothing here changes what it decides."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import Scheduler
    from quetzaldeck.decisions.availability import Closure, UpstreamStatements
    from quetzaldeck.decisions.fair_shares import ShareSum
    from quetzaldeck.decisions.limits import UsageUpdate
    from quetzaldeck.decisions.loads.peer_load import VmLoad
    from quetzaldeck.decisions.poison import (
        CrashSighting,
        PoisonBounds,
        PresumedCrash,
        RunSighting,
    )


class SchedulerReader:
    """Reads the state of a scheduler, and takes what is to be sent to other VMs."""

    def __init__(self, scheduler: Scheduler, clock: Clock) -> None:
        self._scheduler = scheduler
        self._clock = clock

    @property
    def n_queued(self) -> int:
        """:returns: number of queued requests"""
        return self._scheduler.n_queued

    @property
    def n_running(self) -> int:
        """:returns: number of running attempts"""
        return self._scheduler.n_running

    @property
    def statements(self) -> UpstreamStatements:
        """:returns: what upstreams have said of themselves in responses"""
        return self._scheduler.upstreams.statements

    def find_closure(self, upstream: str) -> Closure | None:
        """:returns: why an upstream gets nothing new now; ``None``: it may"""
        state = self._scheduler.upstreams.get(upstream)
        return None if state is None else state.find_closure(self._clock.now_ms())

    @property
    def poison_bounds(self) -> PoisonBounds:
        """:returns: parameters of the detection of requests that crash engines"""
        return self._scheduler.poison.bounds

    def pop_crash_sightings(self) -> list[tuple[CrashSighting, ...]]:
        """:returns: crash sightings to be sent to the other VMs, grouped by request"""
        return self._scheduler.fleet.pop_crash_sightings()

    def list_crash_state(
        self, max_sightings: int, *, random_state: random.Random
    ) -> list[CrashSighting]:
        """:returns: what a VM has to know that missed what others announced"""
        return self._scheduler.fleet.list_crash_state(
            max_sightings, random_state=random_state
        )

    def pop_run_sightings(self) -> list[RunSighting]:
        """:returns: runs that have to be reported to the other VMs"""
        return self._scheduler.poison.ends.pop_changed_runs()

    def list_run_state(self, max_runs: int) -> list[RunSighting]:
        """:returns: what a VM has to know of runs that missed what others announced"""
        return self._scheduler.poison.ends.list_runs(max_runs, self._clock.now_ms())

    def list_presumed(self) -> list[PresumedCrash]:
        """:returns: crashes that are presumed, as upstreams do not answer checks"""
        return self._scheduler.poison.ends.list_presumed()

    def find_due_check_ms(self, upstream: str) -> float | None:
        """:returns: when the first run on an upstream ends that nobody waits for

        ``None``: there is none of which it is not known whether the upstream survived.
        """
        return self._scheduler.poison.find_due_check_ms(upstream)

    def list_slots_in_use(self) -> list[tuple[str, int]]:
        """:returns: requests of all VMs on each engine, as known here"""
        now_ms = self._clock.now_ms()
        return [
            (state.spec.name, state.n_requests(now_ms))
            for state in self._scheduler.upstreams
            if state.spec.figures is not None
        ]

    def list_own_loads(self) -> list[tuple[str, VmLoad]]:
        """:returns: load of this VM on each upstream"""
        now_ms = self._clock.now_ms()
        return [
            (state.spec.name, state.own_load(now_ms))
            for state in self._scheduler.upstreams
        ]

    def take_usage_updates(self) -> list[UsageUpdate]:
        """:returns: usage of limited customers to be sent to the other VMs"""
        return self._scheduler.limits.take_updates(self._clock.now_ms())

    def take_share_changes(self, n_vms: int) -> list[ShareSum]:
        """:returns: tokens dispatched by customer, to be sent to the other VMs now

        :param n_vms: number of VMs that announce them to each other
        """
        if self._scheduler.shares is None:
            return []
        return self._scheduler.shares.take_changes(self._clock.now_ms(), n_vms)


__all__ = ("SchedulerReader",)
