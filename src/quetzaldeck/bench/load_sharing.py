"""Simulates how VMs send each other the load that they put on each upstream."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from quetzaldeck.decisions.loads.load_changes import LoadChanges

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bench.bench_vm import BenchVm
    from quetzaldeck.bench.event_queue import EventQueue
    from quetzaldeck.decisions.loads.peer_load import VmLoad

SEND_INTERVAL_MS = 20.0
"""Interval at which a VM checks its load for changes to send, as in an entry VM."""


class LoadSharing:
    """Sends the changes of each VM's load to all other VMs.

    :param latency_ms: one-way latency between two VMs
    """

    def __init__(
        self, vms: Sequence[BenchVm], events: EventQueue, *, latency_ms: float
    ) -> None:
        self._vms = vms
        self._events = events
        self._latency_ms = latency_ms
        self._changes = {vm.name: LoadChanges() for vm in vms}
        self._active: set[str] = set()

    def start(self) -> None:
        """Send the changes that are due and schedule the next round."""
        now_ms = self._events.now_ms
        for vm in self._vms:
            if vm.is_down:
                continue
            if vm.scheduler.n_running or vm.name in self._active:
                self._send(vm, now_ms)
        self._events.after(SEND_INTERVAL_MS, self.start)

    def _send(self, vm: BenchVm, now_ms: float) -> None:
        """Send the changes of a VM; one without load is skipped from then on.

        Otherwise, comparing the loads of hundreds of idle VMs would take most of the
        time of a run.
        """
        changes = self._changes[vm.name]
        loads = vm.list_loads()
        changed = changes.select_due(loads, now_ms, len(self._vms) - 1)
        if changed:
            self._events.after(self._latency_ms, partial(self._deliver, vm, changed))
        has_load = any(load.needs_refresh for _, load in loads)
        if has_load or changes.has_unsent:
            self._active.add(vm.name)
        else:
            self._active.discard(vm.name)

    def _deliver(self, sender: BenchVm, loads: list[tuple[str, VmLoad]]) -> None:
        for vm in self._vms:
            if vm is not sender and not vm.is_down:
                vm.scheduler.fleet.observe_peer(sender.name, loads)


__all__ = ("SEND_INTERVAL_MS", "LoadSharing")
