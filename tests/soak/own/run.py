"""One fault run: load, faults, time to settle, and the check of its history."""

from __future__ import annotations

import asyncio
import random
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.soak.own.caller import Target
from tests.soak.own.faults import faults
from tests.soak.own.fleet import SoakFleet
from tests.soak.own.report import RunReport, build_run_report
from tests.soak.own.world import World, WorldSettings
from tests.support.example_bundle import API_KEY, BOOKING_PATH, CUSTOMER, MODEL

from quetzaldeck.clock import Clock
from quetzaldeck.history import Recorder, Violation, check_history
from quetzaldeck.history.events import Event, FaultInjected
from quetzaldeck.tasks import run_tasks

if TYPE_CHECKING:
    from collections.abc import Callable

    from tests.soak.own.control import VmControl
    from tests.soak.own.faults import Fault

MIN_PROMPT_TOKENS = 200
MAX_PROMPT_TOKENS = 60_000
BOOKING_SHARE = 0.5


class RunSettings(NamedTuple):
    """One fault run.

    :param fault_names: faults that overlap; they begin one after the other
    :param seed: seed of targets and arrivals
    :param requests_per_second: rate of bookings and model calls together
    :param before_ms: time under load before the first fault
    :param fault_ms: time from the start of the last fault until the faults end
    :param after_ms: time under load after the faults
    :param settle_ms: time to settle after the last call, before memory is recorded
    """

    fault_names: tuple[str, ...]
    seed: int
    world: WorldSettings = WorldSettings()
    requests_per_second: float = 60.0
    before_ms: float = 2_000.0
    fault_ms: float = 4_000.0
    after_ms: float = 5_000.0
    settle_ms: float = 4_000.0


class RunResult(NamedTuple):
    """Result of one fault run."""

    report: RunReport
    violations: list[Violation]
    events: list[Event]


class FaultRun:
    """Runs callers against a fleet while faults begin and end.

    :param control: runs the programs of the VMs
    :param choose_port: returns a free port each time
    """

    def __init__(
        self,
        settings: RunSettings,
        control: VmControl,
        choose_port: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._control = control
        self._random_state = random.Random(settings.seed)
        self._recorder = Recorder(Clock())
        self._choose_port = choose_port

    async def run(self) -> RunResult:
        """:returns: the history, its figures and the violations found in it"""
        async with AsyncExitStack() as stack:
            client = await stack.enter_async_context(_open_client())
            world = await stack.enter_async_context(
                World(self._settings.world, self._recorder, self._choose_port)
            )
            fleet = SoakFleet(
                world,
                self._control,
                self._recorder,
                client,
                Target(CUSTOMER, API_KEY, MODEL, BOOKING_PATH),
                random.Random(self._settings.seed + 1),
            )
            await fleet.start_all()
            await stack.enter_async_context(run_tasks(fleet.sample_bundles()))
            await self._run_under_load(fleet)
            await asyncio.sleep(self._settings.settle_ms / 1_000)
            fleet.record_memory()
        events = self._recorder.events
        violations = check_history(events)
        name = "+".join(self._settings.fault_names)
        return RunResult(build_run_report(name, events, violations), violations, events)

    async def _run_under_load(self, fleet: SoakFleet) -> None:
        async with run_tasks(self._generate_calls(fleet)):
            await asyncio.sleep(self._settings.before_ms / 1_000)
            await self._inject_faults(fleet)
            await asyncio.sleep(self._settings.after_ms / 1_000)
        await fleet.wait_for_calls()

    async def _generate_calls(self, fleet: SoakFleet) -> None:
        random_state = random.Random(self._settings.seed + 2)
        while True:
            if random_state.random() < BOOKING_SHARE:
                fleet.start_call(fleet.caller.book())
            else:
                ratio = MAX_PROMPT_TOKENS / MIN_PROMPT_TOKENS
                n_tokens = round(MIN_PROMPT_TOKENS * ratio ** random_state.random())
                fleet.start_call(fleet.caller.complete(n_tokens))
            wait_s = random_state.expovariate(self._settings.requests_per_second)
            await asyncio.sleep(wait_s)

    async def _inject_faults(self, fleet: SoakFleet) -> None:
        begun: list[tuple[str, Fault]] = []
        for name in self._settings.fault_names:
            fault = faults.get(name)(fleet, self._random_state)
            self._record_fault(name, fault, is_over=False)
            begun.append((name, fault))
            await fault.begin()
        await asyncio.sleep(self._settings.fault_ms / 1_000)
        for name, fault in begun:
            await fault.end()
            self._record_fault(name, fault, is_over=True)

    def _record_fault(self, name: str, fault: Fault, *, is_over: bool) -> None:
        now_ms = self._recorder.now_ms()
        self._recorder.record(FaultInjected(now_ms, name, fault.target, is_over))


def _open_client() -> aiohttp.ClientSession:
    # A new connection for each call, as callers behind a load balancer make.
    connector = aiohttp.TCPConnector(limit=0, force_close=True)
    return aiohttp.ClientSession(connector=connector)


__all__ = ("FaultRun", "RunResult", "RunSettings")
