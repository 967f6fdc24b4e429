"""Checks whether a replica that ran a request has crashed.

A connection breaks when its replica crashes, but also when a network device cuts it,
when the replica loses one response, or when it closes an idle connection at the moment
of its next use. Which requests crash replicas is judged by crashes only, so each broken
connection is followed up by a health check at once: a port on which nothing listens, or
where another replica responds, proves a crash. So does another incarnation that
registers at the address. A replica that does not answer is checked again for a while;
see :mod:`quetzaldeck.entry.presumed_crashes`.

A VM whose own path to the replicas is lost concludes nothing from replicas that it does
not reach, see :mod:`quetzaldeck.entry.path_watch`: all of them would seem to crash.

A replica to which a request was sent for which nobody waits any more is checked as
well, once it can't run the request any longer, unless it has answered another since.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND, round_timer_s
from quetzaldeck.decisions.poison import Liveness
from quetzaldeck.gateway.messages import ObserveCheck
from quetzaldeck.routing import Replica
from quetzaldeck.routing.replica import is_listed_leaving
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Iterable, Mapping

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.poison import PoisonBounds
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.telemetry import UpstreamMetrics

    CheckReplica = Callable[[Replica], Coroutine[object, object, Liveness]]
    MayConclude = Callable[[Replica, float], Coroutine[object, object, bool]]
    ReadReplicas = Callable[[], Mapping[str, Replica]]

MIN_INTERVAL_MS = 100.0
"""Least time between two checks of one replica, which may break each connection."""

MIN_LEFT_INTERVAL_MS = 500.0
"""Least time between two checks of one replica whose callers leave one after the other.
Each check is billed."""

FIRST_RECHECK_MS = 300.0
"""Time until a replica that has not answered its first check is checked again."""

RECHECK_INTERVAL_MS = 1_000.0
"""Time until one that has not answered any check is checked again."""

REGISTRATION_MS = 1_000.0
"""Time within which a replica that has started again under its id is known to have. It
answers checks as the incarnation before would."""


class _Break(NamedTuple):
    """Connections to one incarnation of a replica that have broken or were closed.

    :param first_ms: when the first of them did
    :param registered: incarnations that were registered at its address at that time
    """

    replica: Replica
    first_ms: float
    registered: frozenset[tuple[str, int]]


class _Gone(NamedTuple):
    """A replica whose entry is gone, with what was sent to it.

    :param at_ms: since when
    """

    replica: Replica
    at_ms: float


class CrashChecks:
    """Owns the checks that run; at most one of each replica for each reason.

    :param read_replicas: returns the replicas that are known, by id
    :param check: asks a replica whether it lives
    :param may_conclude: whether a failure to reach a replica since some time says
        anything about the replica
    :param dispatch: is told of the results
    :param bounds: how long another incarnation at the address counts as proof, and how
        long replicas run what nobody waits for
    :param is_leaving: whether a replica leaves, so that its end is no crash
    """

    def __init__(
        self,
        clock: Clock,
        read_replicas: ReadReplicas,
        check: CheckReplica,
        may_conclude: MayConclude,
        dispatch: DispatchTask,
        metrics: UpstreamMetrics,
        *,
        bounds: PoisonBounds,
        is_leaving: Callable[[Replica], bool] = is_listed_leaving,
    ) -> None:
        self._clock = clock
        self._judge_leaving = is_leaving
        self._read_replicas = read_replicas
        self._check = check
        self._may_conclude = may_conclude
        self._dispatch = dispatch
        self._metrics = metrics
        self._bounds = bounds
        self._mailbox: asyncio.Queue[Replica] = asyncio.Queue()
        self._running: dict[str, asyncio.Task[None]] = {}
        self._following: dict[str, asyncio.Task[None]] = {}
        self._breaks: dict[str, _Break] = {}
        self._repeated: set[str] = set()
        self._known: dict[str, Replica] = {}
        self._gone: dict[str, _Gone] = {}

    def note_broken(self, replica: Replica) -> None:
        """Check a replica to which a connection has just broken."""
        self._mailbox.put_nowait(replica)

    def note_left(self, names: Iterable[str]) -> None:
        """Check replicas later that may run a request for which nobody waits."""
        for name in names:
            replica = self._find(name)
            if replica is not None and name not in self._following:
                self._note_break(replica)
                self._own_task(self._following, name, self._follow(replica))

    def apply_replicas(self) -> None:
        """Take another incarnation at the address of a replica as proof."""
        now_ms = self._clock.now_ms()
        oldest_ms = now_ms - self._bounds.unproven_ms
        replicas = self._read_replicas()
        for name in self._known.keys() - replicas.keys():
            self._gone[name] = _Gone(self._known[name], now_ms)
        self._known = dict(replicas)
        for name, gone in tuple(self._gone.items()):
            if name in replicas or gone.at_ms < oldest_ms:
                del self._gone[name]
        for name, broken in tuple(self._breaks.items()):
            if broken.first_ms < oldest_ms:
                del self._breaks[name]
            elif self._list_registered(broken.replica) - broken.registered:
                self._conclude(broken, Liveness.ENDED, "replaced")

    async def run(self) -> None:
        """Start checks until cancelled."""
        try:
            while True:
                self._start(await self._mailbox.get())
        finally:
            for task in (*self._running.values(), *self._following.values()):
                task.cancel()

    def _start(self, replica: Replica) -> None:
        name = replica.replica_id
        broken = self._note_break(replica)
        if self._is_leaving(name):
            self._conclude(broken, Liveness.ALIVE, "leaving")
        elif name in self._running:
            self._repeated.add(name)
        else:
            self._own_task(self._running, name, self._run_checks(name))

    def _own_task(
        self,
        tasks: dict[str, asyncio.Task[None]],
        name: str,
        run: Coroutine[object, object, None],
    ) -> None:
        tasks[name] = asyncio.create_task(run)
        tasks[name].add_done_callback(lambda _: tasks.pop(name, None))

    def _note_break(self, replica: Replica) -> _Break:
        """:returns: the break of connections to a replica that is not concluded yet"""
        name = replica.replica_id
        broken = self._breaks.get(name)
        if broken is None or broken.replica.incarnation != replica.incarnation:
            now_ms = self._clock.now_ms()
            # The next incarnation under its id may have registered before the broken
            # connection is noticed.
            registered = frozenset(
                (other, started_ms)
                for other, started_ms in self._list_registered(replica)
                if other != name or started_ms == replica.started_ms
            )
            broken = _Break(replica, now_ms, registered)
            self._breaks[name] = broken
        return broken

    def _find(self, name: str) -> Replica | None:
        """:returns: a replica, also one whose entry has expired before the attempt"""
        gone = self._gone.get(name)
        return self._read_replicas().get(name) or (gone and gone.replica)

    def _is_leaving(self, name: str) -> bool:
        current = self._find(name)
        return current is not None and self._judge_leaving(current)

    async def _run_checks(self, name: str) -> None:
        """Check a replica, once more if connections broke after a check began."""
        while (broken := self._breaks.get(name)) is not None:
            self._repeated.discard(name)
            begun_ms = self._clock.now_ms()
            await self._check_until_known(broken, "checked")
            await asyncio.sleep(MIN_INTERVAL_MS / MS_PER_SECOND)
            if name not in self._repeated:
                return
            self._breaks.setdefault(name, broken._replace(first_ms=begun_ms))

    async def _follow(self, replica: Replica) -> None:
        """Check a replica until it is known whether it has survived what it ran."""
        name = replica.replica_id
        wait_ms = self._bounds.linger_ms
        while True:
            await asyncio.sleep(round_timer_s(wait_ms))
            due_ms = self._dispatch.find_due_check_ms(name)
            if due_ms is None:
                self._breaks.pop(name, None)
                return
            wait_ms = due_ms - self._clock.now_ms()
            if wait_ms > 0:
                continue
            broken = self._note_break(replica)
            if self._is_leaving(name):
                self._conclude(broken, Liveness.ALIVE, "leaving")
                return
            liveness = await self._check_until_known(broken, "left")
            if liveness is not Liveness.ALIVE:
                return
            wait_ms = MIN_LEFT_INTERVAL_MS

    async def _check_until_known(self, broken: _Break, how: str) -> Liveness:
        """Check a replica, again while it does not answer, for a limited time.

        :returns: the last result
        """
        name = broken.replica.replica_id
        end_ms = self._clock.now_ms() + self._bounds.presumed_ms
        n_unanswered = 0
        while True:
            begun_ms = self._clock.now_ms()
            liveness = await self._check(broken.replica)
            if liveness is Liveness.ALIVE and broken.replica.started_ms:
                await asyncio.sleep(REGISTRATION_MS / MS_PER_SECOND)
            if liveness is not Liveness.ALIVE and not await self._may_conclude(
                broken.replica, broken.first_ms
            ):
                self._breaks.pop(name, None)
                return Liveness.UNKNOWN
            if name not in self._breaks:
                return Liveness.ENDED  # Another incarnation has registered meanwhile.
            if liveness is not Liveness.UNKNOWN:
                self._conclude(broken, liveness, how, begun_ms)
                return liveness
            n_unanswered += 1
            if n_unanswered == 1:
                # A replica that is busy for a moment is not presumed to have crashed.
                await asyncio.sleep(FIRST_RECHECK_MS / MS_PER_SECOND)
                continue
            self._conclude(broken, liveness, how, begun_ms)
            if self._clock.now_ms() >= end_ms:
                return liveness
            await asyncio.sleep(RECHECK_INTERVAL_MS / MS_PER_SECOND)

    def _conclude(
        self,
        broken: _Break,
        liveness: Liveness,
        how: str,
        begun_ms: float | None = None,
    ) -> None:
        """Report a result, and forget the break unless nothing is known.

        :param begun_ms: when the check began; ``None``: now
        """
        name = broken.replica.replica_id
        now_ms = self._clock.now_ms()
        self._metrics.crash_checks.labels(liveness.value).inc()
        log_event(
            "lost_connection_checked",
            upstream=name,
            incarnation=broken.replica.incarnation,
            address=broken.replica.address,
            liveness=liveness.value,
            how=how,
            age_ms=now_ms - broken.first_ms,
        )
        if liveness is not Liveness.UNKNOWN:
            self._breaks.pop(name, None)
        has_ended = liveness is Liveness.ENDED
        at_ms = broken.first_ms if has_ended else begun_ms or now_ms
        incarnation = broken.replica.incarnation
        self._dispatch.send(ObserveCheck(name, liveness, at_ms, incarnation))

    def _list_registered(self, replica: Replica) -> frozenset[tuple[str, int]]:
        """:returns: ids and starts of the replicas at the address of a replica"""
        return frozenset(
            (other.replica_id, other.started_ms)
            for other in self._read_replicas().values()
            if other.address == replica.address
        )


__all__ = ("CrashChecks",)
