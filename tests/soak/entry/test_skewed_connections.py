"""A load balancer that hands most new connections to one VM."""

from __future__ import annotations

import asyncio
import signal
import tempfile
from contextlib import asynccontextmanager
from pathlib import Path
from typing import TYPE_CHECKING

import uvloop
from tests.soak.entry.callers import Callers
from tests.soak.entry.world import SoakWorld
from tests.support.platform.partitions import STABLE_MS
from tests.support.platform.skewed_callers import SkewedCallers

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from tests.soak.entry.world import SoakVm

RATE_PER_S = 300.0
CALM_S = 2.0
SKEWED_S = 8.0
RUN_S = 0.01
STOP_S = 0.04
MIN_SHARE = 0.75
"""Least share of the calls that are answered, of the share before."""


@asynccontextmanager
async def slow_down(vm: SoakVm) -> AsyncIterator[None]:
    """Let a VM run for a fifth of the time, as a small share of a processor does."""

    async def throttle() -> None:
        while True:
            vm.process.send(signal.SIGSTOP)
            await asyncio.sleep(STOP_S)
            vm.process.send(signal.SIGCONT)
            await asyncio.sleep(RUN_S)

    task = asyncio.create_task(throttle())
    try:
        yield
    finally:
        task.cancel()
        vm.process.send(signal.SIGCONT)


def test_callers_are_served_while_most_new_connections_go_to_one_vm() -> None:
    """A VM without processor time reads what idle VMs would serve, and fails it."""

    async def test() -> None:
        with tempfile.TemporaryDirectory() as directory:
            world = SoakWorld(Path(directory), seed=1, n_vms=5)
            async with world, Callers(world) as callers:
                polling = asyncio.create_task(callers.poll_readiness())
                await world.wait_ready()
                addresses = [vm.address for vm in world.vms]
                senders = SkewedCallers(addresses, next(iter(world.keys)))
                loop = asyncio.get_running_loop()
                await senders.send(CALM_S, RATE_PER_S, is_skewed=False)
                begin_ms = loop.time() * 1_000
                async with slow_down(world.vms[0]):
                    await senders.send(SKEWED_S, RATE_PER_S)
                polling.cancel()
        before = senders.answered_share(0.0, begin_ms)
        after_ms = begin_ms + STABLE_MS
        after = senders.answered_share(after_ms, begin_ms + SKEWED_S * 1_000)
        assert after >= MIN_SHARE * before

    uvloop.run(test())


__all__: tuple[str, ...] = ()
