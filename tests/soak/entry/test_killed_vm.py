"""What the log of a VM says once its process was killed."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import uvloop
from tests.soak.entry.callers import Callers
from tests.soak.entry.history import now_ms
from tests.soak.entry.log_checks import read_log
from tests.soak.entry.world import SoakWorld

if TYPE_CHECKING:
    from pathlib import Path

KILLED_S = 1.5
RATE_PER_S = 40.0
WRITING_MS = 100.0
"""Time for the thread that writes the log."""


def test_log_of_a_killed_vm_names_what_replicas_run(tmp_path: Path) -> None:
    """Guards against calls at work whose VM has no line of them once it was killed."""

    async def check() -> None:
        world = SoakWorld(tmp_path, seed=1, n_vms=1)
        world.n_wanting_long_calls = 1
        (vm,) = world.vms
        async with world:
            async with Callers(world) as callers:
                polling = asyncio.create_task(callers.poll_readiness())
                await world.wait_ready()
                sending = asyncio.create_task(callers.send_calls(KILLED_S, RATE_PER_S))
                await asyncio.sleep(KILLED_S)
                killed_ms = now_ms()
                vm.process.end()
                await sending
                polling.cancel()
                with suppress(asyncio.CancelledError):
                    await polling
            log = read_log(vm.process.log)
        ran = {
            (execution.call_id, execution.replica)
            for execution in world.history.executions
            if execution.at_ms < killed_ms - WRITING_MS
        }
        assert ran <= log.sent
        assert {call_id for call_id, _ in ran} - log.ended

    uvloop.run(check())
