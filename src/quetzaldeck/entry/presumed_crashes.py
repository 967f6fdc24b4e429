"""Finds out from the store whether replicas live that do not answer checks.

A replica that does not answer has crashed, its host is lost, or it is cut off from this
VM. A living one goes on writing its entry, unless it is cut off from the store as well;
the entry of one that has ended expires. So an entry that is still there after that time
shows that its replica lives. One that is missing proves nothing until it returns, as
its replica may be cut off from everything: the crash stays presumed.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.decisions.poison import Liveness
from quetzaldeck.gateway.messages import ObserveCheck
from quetzaldeck.routing.replica import is_listed_leaving
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.belief import FleetBelief
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.poison import PresumedCrash
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.routing import Replica

INTERVAL_MS = 250.0
"""Time between two looks at the entries, while any crash is presumed."""

MAX_AGE_MS = 1_500.0
"""Age of the fleet state up to which an entry that it contains shows anything."""


class PresumedCrashes:
    """Resolves the crashes that are presumed.

    :param dispatch: knows them, and is told of the results
    :param expiry_ms: time after which the entry of a replica that has ended is gone
    :param is_leaving: whether a replica leaves, so that its end is no crash
    """

    def __init__(
        self,
        clock: Clock,
        belief: FleetBelief,
        dispatch: DispatchTask,
        *,
        expiry_ms: float,
        is_leaving: Callable[[Replica], bool] = is_listed_leaving,
    ) -> None:
        self._clock = clock
        self._belief = belief
        self._dispatch = dispatch
        self._expiry_ms = expiry_ms
        self._is_leaving = is_leaving
        self._absent: set[str] = set()

    async def run(self) -> None:
        """Resolve until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_MS / MS_PER_SECOND)
            self.resolve()

    def resolve(self) -> None:
        """Report what the entries show of the replicas that are presumed crashed."""
        presumed = self._dispatch.list_presumed()
        self._absent &= {crash.upstream for crash in presumed}
        for crash in presumed:
            liveness, how = self._judge(crash)
            if liveness is Liveness.UNKNOWN:
                continue
            now_ms = self._clock.now_ms()
            log_event(
                "presumed_crash_resolved",
                upstream=crash.upstream,
                incarnation=crash.incarnation,
                liveness=liveness.value,
                how=how,
                age_ms=now_ms - crash.at_ms,
            )
            at_ms = crash.at_ms if liveness is Liveness.ENDED else now_ms
            message = ObserveCheck(crash.upstream, liveness, at_ms, crash.incarnation)
            self._dispatch.send(message)

    def _judge(self, crash: PresumedCrash) -> tuple[Liveness, str]:
        """:returns: whether the replica lives, and what shows it"""
        replica = self._belief.find_entry(crash.upstream)
        if replica is None:
            self._absent.add(crash.upstream)
            return Liveness.UNKNOWN, ""
        if self._is_leaving(replica):
            return Liveness.ALIVE, "leaving"
        known = crash.incarnation and replica.incarnation
        if known and crash.incarnation != replica.incarnation:
            return Liveness.ENDED, "replaced"
        if crash.upstream in self._absent:
            return Liveness.ALIVE, "returned"
        if self._is_overdue(crash):
            return Liveness.ALIVE, "registered"
        return Liveness.UNKNOWN, ""

    def _is_overdue(self, crash: PresumedCrash) -> bool:
        """:returns: whether the entry would have expired if the replica had ended"""
        uptime_ms = self._clock.uptime_ms()
        if self._belief.age_ms(uptime_ms) > MAX_AGE_MS:
            return False
        trouble_age_ms = self._belief.trouble_age_ms(uptime_ms)
        if trouble_age_ms is not None and trouble_age_ms < self._expiry_ms:
            return False
        return self._clock.now_ms() - crash.at_ms >= self._expiry_ms


__all__ = ("PresumedCrashes",)
