"""Faults of engines and plain services."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.soak.own.faults.api import Fault, faults

from quetzaldeck.standin.faults import EngineFaults

if TYPE_CHECKING:
    import random

    from tests.soak.own.fleet import SoakFleet

N_CRASHED_ENGINES = 4
DOWN_MS = 1_500.0
PAUSE_MS = 3_000.0
LOAD_LAG_MS = 3_000
REST_MS = 1_500
CACHE_EVENT_GAP = 3
N_ABORTED_CALLS = 5
N_POISON_SENDS = 12
POISON_INTERVAL_MS = 400.0
CRASH_MARKER = "crash-the-engine"


class _SingleEngineFault(Fault):
    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        self._upstream = random_state.choice(sorted(fleet.world.engines))
        self._engine = fleet.world.engines[self._upstream]

    @property
    def target(self) -> str:
        """:returns: the engine that fails"""
        return self._upstream


@faults.register("engine_crash_wave")
class EngineCrashWave(Fault):
    """Several engines crash at the same time and restart with empty memory."""

    async def begin(self) -> None:
        """Crash the engines."""
        names = sorted(self._fleet.world.engines)
        for name in self._random_state.sample(names, N_CRASHED_ENGINES):
            engine = self._fleet.world.engines[name]
            engine.start_fault(engine.crash(DOWN_MS))

    async def end(self) -> None:
        """Do nothing: the engines restart by themselves."""


@faults.register("engine_pause")
class EnginePause(_SingleEngineFault):
    """An engine sends nothing for a while, then continues."""

    async def begin(self) -> None:
        """Pause the engine."""
        self._engine.start_fault(self._engine.pause(PAUSE_MS))

    async def end(self) -> None:
        """Do nothing: the engine resumes by itself."""


@faults.register("confused_chunks")
class ConfusedChunks(Fault):
    """Engines send duplicate, delayed, swapped and foreign chunks."""

    async def begin(self) -> None:
        """Enable foreign chunks and a random choice of the rest on each engine."""
        for engine in self._fleet.world.engines.values():
            engine.faults = EngineFaults(
                doubles_chunks=self._random_state.random() < 0.5,
                delays_chunks=self._random_state.random() < 0.5,
                swaps_chunks=self._random_state.random() < 0.5,
                sends_foreign_chunks=True,
            )

    async def end(self) -> None:
        """Disable the faults."""
        for engine in self._fleet.world.engines.values():
            engine.faults = EngineFaults()


@faults.register("lagging_loads")
class LaggingLoads(Fault):
    """Load reports are seconds old, and some cache events are missing."""

    async def begin(self) -> None:
        """Enable the lag and the gaps."""
        for engine in self._fleet.world.engines.values():
            engine.faults = EngineFaults(
                extra_load_lag_ms=LOAD_LAG_MS, cache_event_gap=CACHE_EVENT_GAP
            )

    async def end(self) -> None:
        """Disable the lag and the gaps."""
        for engine in self._fleet.world.engines.values():
            engine.faults = EngineFaults()


@faults.register("resting_engine")
class RestingEngine(_SingleEngineFault):
    """An engine turns all calls away and asks for rest."""

    async def begin(self) -> None:
        """Turn calls away."""
        self._engine.faults = EngineFaults(rest_ms=REST_MS)

    async def end(self) -> None:
        """Run calls again."""
        self._engine.faults = EngineFaults()


@faults.register("leaving_engine")
class LeavingEngine(_SingleEngineFault):
    """An engine says that it leaves, before the list does, and starts again."""

    async def begin(self) -> None:
        """Say so in each response."""
        self._engine.faults = EngineFaults(is_leaving=True)

    async def end(self) -> None:
        """Start a new incarnation, which stays."""
        self._engine.faults = EngineFaults()
        self._engine.start_fault(self._engine.crash(DOWN_MS))


@faults.register("service_breaks_off")
class ServiceAborts(Fault):
    """Replicas abort calls, some before they run and some after."""

    async def begin(self) -> None:
        """Abort the next few calls of each replica."""
        for service in self._fleet.world.services.values():
            await service.set_faults(
                {
                    "n_crashes_before": N_ABORTED_CALLS,
                    "n_crashes_after": N_ABORTED_CALLS,
                }
            )

    async def end(self) -> None:
        """Clear the remaining aborts."""
        for service in self._fleet.world.services.values():
            await service.set_faults({})


@faults.register("poison_request")
class PoisonRequest(Fault):
    """A request crashes each engine that runs it, and its caller keeps resending it.

    Calls of other callers must still be answered.
    """

    @property
    def target(self) -> str:
        """:returns: number of engine crashes"""
        engines = self._fleet.world.engines.values()
        return f"{sum(engine.n_crashes for engine in engines)} engine crashes"

    async def begin(self) -> None:
        """Send the request repeatedly, through randomly chosen VMs."""
        for engine in self._fleet.world.engines.values():
            engine.faults = EngineFaults(crash_marker=CRASH_MARKER, crash_after_ms=0)
        self._fleet.start_call(self._send())

    async def end(self) -> None:
        """Do nothing: engines still crash on the request."""

    async def _send(self) -> None:
        for number in range(N_POISON_SENDS):
            await self._fleet.caller.complete_text(f"p{number}", CRASH_MARKER)
            await asyncio.sleep(POISON_INTERVAL_MS / 1_000)


@faults.register("leaving_upstream")
class LeavingUpstream(Fault):
    """An upstream leaves as announced and does not return."""

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        self._upstream = random_state.choice(sorted(fleet.world.engines))

    @property
    def target(self) -> str:
        """:returns: the upstream"""
        return self._upstream

    async def begin(self) -> None:
        """Announce that the upstream is leaving."""
        await self._fleet.announce_upstream_leaving(self._upstream)

    async def end(self) -> None:
        """Do nothing: the upstream does not return."""


__all__ = (
    "ConfusedChunks",
    "EngineCrashWave",
    "EnginePause",
    "LaggingLoads",
    "LeavingUpstream",
    "PoisonRequest",
    "ServiceAborts",
)
