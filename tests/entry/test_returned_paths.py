"""Calls whose VM loses its path for a moment, and that no other VM takes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
from tests.support.platform.fleet import run_fleet
from tests.support.platform.partitions import Partition
from tests.support.platform.site import DESK, LOOK_PATH

from quetzaldeck.decisions.paths import PathBounds, PathVerdict
from quetzaldeck.entry.attempt import AttemptRunner
from quetzaldeck.entry.handover.client import Handover, NotTakenError
from quetzaldeck.gateway.messages import ObservePath
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.partitions import Call
    from tests.support.platform.replica import Arrival, Connection

    from quetzaldeck.decisions import Dispatch

    Handler = Callable[[Arrival, Connection], Awaitable[None]]

HOST = "127.0.1.1"
LOST_S = 0.3
BACK_S = 1.2
"""Before the call would be refused."""

SOUND_SILENCE_S = PathBounds().sound_silence_ms / 1_000
WORK_S = BACK_S + 0.8
DEADLINE_MS = 4_500
MAX_LATE_MS = 300.0

QUEUED_S = 0.6
"""When a retry of a silent call waits in the queue."""


async def work(arrival: Arrival, connection: Connection) -> None:
    """Answer after the call would have been refused, had it no path."""
    await asyncio.sleep(WORK_S)
    await connection.answer(arrival)


async def answer(arrival: Arrival, connection: Connection) -> None:
    """Answer at once."""
    await connection.answer(arrival)


async def hang(arrival: Arrival, connection: Connection) -> None:
    """Accept a call and never answer it."""
    while not connection.is_left:
        await asyncio.sleep(0.01)


async def break_after_return(arrival: Arrival, connection: Connection) -> None:
    """End the connection of a call once the path is back."""
    await asyncio.sleep(BACK_S + 0.2)
    connection.reset()


async def break_off(arrival: Arrival, connection: Connection) -> None:
    """End the connection of a call that may have run."""
    connection.reset()


class Blip:
    """One VM that loses its path for a moment, while no other VM has one.

    :param handlers: of the first attempt, and of those after it
    :param lost_s: when it loses the path, counted from the arrival of a call
    """

    def __init__(
        self, fleet: EntryFleet, *handlers: Handler, lost_s: float = LOST_S
    ) -> None:
        self._fleet = fleet
        self._lost_s = lost_s
        self._handlers = list(handlers)
        self.n_runs = 0

    async def run(self) -> Call:
        """:returns: what a caller of the VM receives"""
        partition = Partition(self._fleet)
        await partition.add_replicas(n_engines=1)
        for replica in partition.replicas:
            replica.server.handler = self._handle
        async with aiohttp.ClientSession() as client:
            calling = asyncio.create_task(
                partition.send(client, HOST, LOOK_PATH, deadline_ms=DEADLINE_MS)
            )
            await asyncio.sleep(self._lost_s)
            for host in self._fleet.vms:
                self._set_path(host, PathVerdict.PARTITIONED)
            await asyncio.sleep(BACK_S - self._lost_s)
            for host in self._fleet.vms:
                self._set_path(host, PathVerdict.REACHED)
            return await calling

    def _set_path(self, host: str, verdict: PathVerdict) -> None:
        """Replace what a VM concludes of its path."""
        state = self._fleet.vms[host].state
        state.paths._report_verdicts = lambda: None  # type: ignore[method-assign]
        state.paths.monitor._verdicts = {DESK: verdict}
        state.dispatch.send(ObservePath(DESK, verdict))

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        self.n_runs += 1
        index = min(self.n_runs, len(self._handlers)) - 1
        await self._handlers[index](arrival, connection)


def test_call_is_answered_by_its_replica_once_the_path_is_back() -> None:
    """A replica is at work, and its caller is refused as the path was lost."""

    async def test(fleet: EntryFleet) -> None:
        call = await Blip(fleet, work).run()
        assert call.status == 200
        assert call.elapsed_ms < WORK_S * 1_000 + MAX_LATE_MS

    run_fleet(test)


def test_call_is_retried_once_the_path_is_back() -> None:
    """A call that no VM has taken is refused, though another replica would answer."""

    async def test(fleet: EntryFleet) -> None:
        blip = Blip(fleet, hang, answer)
        call = await blip.run()
        assert (call.status, blip.n_runs) == (200, 2)
        assert call.elapsed_ms < BACK_S * 1_000 + MAX_LATE_MS

    run_fleet(test)


@pytest.mark.parametrize("n_hanging", [1, 2])
def test_call_whose_replicas_hang_is_refused_though_the_path_is_back(
    n_hanging: int,
) -> None:
    """A call is held to its deadline, as its VM had lost the path for a moment."""

    async def test(fleet: EntryFleet) -> None:
        handlers = (hang,) if n_hanging == 1 else (hang, break_off)
        call = await Blip(fleet, *handlers).run()
        assert call.status == 502
        allowed_s = BACK_S + SOUND_SILENCE_S
        assert call.elapsed_ms < allowed_s * 1_000 + MAX_LATE_MS

    run_fleet(test)


def test_silence_of_a_retry_counts_from_when_it_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A call is refused as its next replica is silent, which has been sent nothing."""
    turns_s = iter((0.0, SOUND_SILENCE_S + 0.3))
    acquire = AttemptRunner.acquire_permits

    async def acquire_late(runner: AttemptRunner, dispatch: Dispatch) -> None:
        await asyncio.sleep(next(turns_s))
        await acquire(runner, dispatch)

    monkeypatch.setattr(AttemptRunner, "acquire_permits", acquire_late)

    async def test(fleet: EntryFleet) -> None:
        blip = Blip(fleet, hang, answer)
        call = await blip.run()
        assert (call.status, blip.n_runs) == (200, 2)

    run_fleet(test)


def test_call_at_work_is_answered_though_the_path_is_lost_before_its_retry() -> None:
    """A retry is decided on and refused as the path is lost, its replica at work."""

    async def test(fleet: EntryFleet) -> None:
        call = await Blip(fleet, work, hang, lost_s=QUEUED_S).run()
        assert call.status == 200

    run_fleet(test)


@pytest.mark.parametrize(
    ("handler", "refused_s"), [(hang, 2.6), (break_after_return, 1.3)]
)
def test_call_is_retried_though_other_vms_refuse_it_late(
    monkeypatch: pytest.MonkeyPatch, handler: Handler, refused_s: float
) -> None:
    """A call that nobody has taken is refused, though its path is back for long."""

    async def refuse_late(*_: object, **__: object) -> None:
        await asyncio.sleep(refused_s)
        raise NotTakenError(Failure(Reason.NO_PATH, Ran.UNKNOWN))

    monkeypatch.setattr(Handover, "run", refuse_late)

    async def test(fleet: EntryFleet) -> None:
        call = await Blip(fleet, handler, answer).run()
        assert call.status == 200

    run_fleet(test)
