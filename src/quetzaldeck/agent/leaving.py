"""Upstreams that are leaving, as read by this agent and its peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.directory import VmRole, VmState
from quetzaldeck.dissemination import RecordDraft

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.directory import VmEntry
    from quetzaldeck.dissemination import RecordStore

LEAVING_KIND = "leaving"
LEAVING_TTL_MS = 120_000
RENEWAL_INTERVAL_MS = LEAVING_TTL_MS / 4


class LeavingUpstreams:
    """Announces to peers which upstreams the platform's list shows as leaving.

    In a large fleet each agent reads the list rarely. The first agent that reads that
    an upstream is leaving announces it to all, so that the others don't send it new
    work until their own next read.
    """

    def __init__(self, records: RecordStore, clock: Clock) -> None:
        self._records = records
        self._clock = clock
        self._announced_ms: dict[str, float] = {}

    @property
    def names(self) -> tuple[str, ...]:
        """:returns: upstreams that get no new work"""
        shared = {record.key for record in self._records.list_since(0, LEAVING_KIND)}
        return tuple(sorted(shared | set(self._announced_ms)))

    def apply_list(self, vms: tuple[VmEntry, ...]) -> bool:
        """Update the announced upstreams from a new read of the list.

        :returns: whether there is a new one, to be sent to peers at once
        """
        leaving = {
            vm.vm
            for vm in vms
            if vm.role == VmRole.UPSTREAM and vm.state == VmState.LEAVING
        }
        for name in set(self._announced_ms) - leaving:
            del self._announced_ms[name]
        new = leaving - set(self._announced_ms)
        now_ms = self._clock.now_ms()
        for name in leaving:
            announced_ms = self._announced_ms.get(name)
            if announced_ms is None or now_ms - announced_ms >= RENEWAL_INTERVAL_MS:
                self._announced_ms[name] = now_ms
                self._records.put(
                    RecordDraft(LEAVING_KIND, name, 1, LEAVING_TTL_MS, name in new)
                )
        return bool(new)


__all__ = ("LeavingUpstreams",)
