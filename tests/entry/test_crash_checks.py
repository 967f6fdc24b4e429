"""A connection to a replica has broken; whether the replica has ended is found out."""

from __future__ import annotations

import asyncio
from types import SimpleNamespace
from typing import TYPE_CHECKING, cast

import pytest
import uvloop
from prometheus_client import CollectorRegistry

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions.poison import Liveness, PoisonBounds
from quetzaldeck.entry.crash_checks import CrashChecks
from quetzaldeck.gateway.messages import ObserveCheck
from quetzaldeck.routing import Replica
from quetzaldeck.telemetry import UpstreamMetrics

if TYPE_CHECKING:
    from quetzaldeck.gateway.dispatch_task import DispatchTask

BOUNDS = PoisonBounds()
PROOF_MS = BOUNDS.unproven_ms
BROKEN_MS = 1_000.0
REPLICA = Replica("r0", "desk", "10.0.0.1:80", "a", is_leaving=False, n_slots=6)
PREDECESSOR = REPLICA._replace(replica_id="before")


class Setting:
    """Checks whose replicas answer as a test says."""

    def __init__(self, *answers: Liveness) -> None:
        self.clock = ManualClock(BROKEN_MS)
        self.replicas = {r.replica_id: r for r in (PREDECESSOR, REPLICA)}
        self.answers = list(answers)
        self.sent: list[ObserveCheck] = []
        self.judging_s = 0.0
        self.n_judged = 0
        self.n_lost = 0
        dispatch = SimpleNamespace(
            send=self.sent.append, find_due_check_ms=lambda name: BROKEN_MS
        )
        self.checks = CrashChecks(
            self.clock,
            lambda: self.replicas,
            self._check,
            self._reaches_upstreams,
            cast("DispatchTask", dispatch),
            UpstreamMetrics(CollectorRegistry()),
            bounds=BOUNDS,
        )

    @property
    def results(self) -> list[ObserveCheck]:
        """:returns: the messages that say whether the replica lives"""
        return [m for m in self.sent if m.liveness is not Liveness.UNKNOWN]

    async def _check(self, replica: Replica) -> Liveness:
        return self.answers.pop(0)

    async def _reaches_upstreams(self, replica: Replica, since_ms: float) -> bool:
        self.n_judged += 1
        await asyncio.sleep(self.judging_s)
        return self.n_judged > self.n_lost

    async def run(self, n_broken: int = 1) -> None:
        """Break connections and wait for the checks."""
        task = asyncio.create_task(self.checks.run())
        for _ in range(n_broken):
            self.checks.note_broken(REPLICA)
        await asyncio.sleep(0.4)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(
    ("answer", "expected"),
    [
        (Liveness.ENDED, [ObserveCheck("r0", Liveness.ENDED, BROKEN_MS)]),
        (Liveness.ALIVE, [ObserveCheck("r0", Liveness.ALIVE, BROKEN_MS)]),
        (Liveness.UNKNOWN, [ObserveCheck("r0", Liveness.UNKNOWN, BROKEN_MS)]),
    ],
)
def test_result_of_a_check_is_reported_unless_nothing_is_known(
    answer: Liveness, expected: list[ObserveCheck]
) -> None:
    setting = Setting(answer, answer)
    uvloop.run(setting.run())
    assert setting.sent == expected


def test_replica_that_answers_the_second_check_has_not_crashed() -> None:
    """Guards against requests that are held since replicas are busy for a moment."""
    setting = Setting(Liveness.UNKNOWN, Liveness.ALIVE)
    uvloop.run(setting.run())
    assert [message.liveness for message in setting.sent] == [Liveness.ALIVE]


def test_many_broken_connections_make_one_check() -> None:
    """Guards against a check for each of hundreds of connections that are cut."""
    setting = Setting(Liveness.UNKNOWN, Liveness.UNKNOWN)
    uvloop.run(setting.run(n_broken=300))
    assert setting.answers == []


def test_new_incarnation_at_the_address_proves_a_crash() -> None:
    """Guards against a crash that counts for nobody, since its check got no answer.

    The entry of an earlier replica at the address, which has not lapsed yet, proves
    nothing.
    """
    setting = Setting(Liveness.UNKNOWN, Liveness.UNKNOWN)
    uvloop.run(setting.run())
    setting.checks.apply_replicas()
    assert setting.results == []
    setting.replicas["next"] = REPLICA._replace(replica_id="next")
    setting.checks.apply_replicas()
    assert setting.results == [ObserveCheck("r0", Liveness.ENDED, BROKEN_MS)]


def test_restart_under_the_same_id_proves_a_crash() -> None:
    setting = Setting(Liveness.UNKNOWN, Liveness.UNKNOWN)
    uvloop.run(setting.run())
    setting.replicas["r0"] = REPLICA._replace(started_ms=5)
    setting.checks.apply_replicas()
    assert [message.liveness for message in setting.results] == [Liveness.ENDED]


def test_incarnation_that_registers_long_after_proves_nothing() -> None:
    """Guards against blaming a request whose connection was cut for a later end."""
    setting = Setting(Liveness.UNKNOWN, Liveness.UNKNOWN)
    uvloop.run(setting.run())
    setting.clock.advance(PROOF_MS + 1.0)
    setting.replicas["next"] = REPLICA._replace(replica_id="next")
    setting.checks.apply_replicas()
    assert setting.results == []


def test_replica_that_leaves_does_not_crash() -> None:
    setting = Setting()
    setting.replicas["r0"] = REPLICA._replace(is_leaving=True)
    uvloop.run(setting.run())
    assert [message.liveness for message in setting.sent] == [Liveness.ALIVE]


def test_restart_under_the_same_id_is_no_life_sign() -> None:
    """The next incarnation answers the check, under the id of the one that ended."""
    setting = Setting(Liveness.ALIVE)
    replica = REPLICA._replace(started_ms=5)

    async def restart() -> None:
        task = asyncio.create_task(setting.checks.run())
        setting.checks.note_broken(replica)
        await asyncio.sleep(0.05)
        setting.replicas["r0"] = replica._replace(started_ms=6)
        setting.checks.apply_replicas()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    setting.replicas["r0"] = replica
    uvloop.run(restart())
    assert [message.liveness for message in setting.sent] == [Liveness.ENDED]


def test_restart_that_is_known_before_the_break_proves_a_crash() -> None:
    """A VM that was paused finds connections broken after the next one registered."""
    setting = Setting(Liveness.ALIVE)
    setting.replicas["r0"] = REPLICA._replace(started_ms=6)

    async def wake() -> None:
        task = asyncio.create_task(setting.checks.run())
        setting.checks.note_broken(REPLICA._replace(started_ms=5))
        await asyncio.sleep(0.05)
        setting.checks.apply_replicas()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    uvloop.run(wake())
    assert [message.liveness for message in setting.sent] == [Liveness.ENDED]


def test_replica_whose_entry_is_gone_is_checked() -> None:
    """Guards against runs of which nothing is known, as the entry expired first."""
    setting = Setting(Liveness.UNKNOWN, Liveness.UNKNOWN)

    async def leave() -> None:
        setting.checks.apply_replicas()
        del setting.replicas["r0"]
        setting.checks.apply_replicas()
        setting.checks.note_left(["r0"])
        await asyncio.sleep((BOUNDS.linger_ms + 400.0) / 1_000)

    uvloop.run(leave())
    assert [m.liveness for m in setting.sent] == [Liveness.UNKNOWN]
