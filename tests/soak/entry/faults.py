"""Faults of the soak, injected from outside of the processes."""

from __future__ import annotations

import asyncio
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

from tests.soak.entry.history import Disturbance, now_ms
from tests.soak.entry.world import GRACE_S, LEAVING_MS
from tests.soak.own.link import LinkMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from tests.soak.entry.world import SoakVm, SoakWorld

    Fault = Callable[[SoakWorld], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
SETTLE_MS = 1_500.0
"""For how long after its end a fault still counts as one: timeouts, restarts."""

MAX_PAUSE_S = 2.0
STOP_BOUND_S = GRACE_S + 2 * MAX_PAUSE_S + 2.0
"""A VM may be paused while it stops."""


def register(function: Fault) -> Fault:
    """Add a fault to the soak under its own name."""
    FAULTS[function.__name__] = function
    return function


@asynccontextmanager
async def disturb(world: SoakWorld, name: str, target: str) -> AsyncIterator[None]:
    """Note a fault; an empty target concerns all VMs."""
    begin_ms = now_ms()
    index = len(world.history.disturbances)
    world.history.disturbances.append(Disturbance(name, target, begin_ms, 1e18))
    try:
        yield
    finally:
        ended = Disturbance(name, target, begin_ms, now_ms() + SETTLE_MS)
        world.history.disturbances[index] = ended


def pick_vm(world: SoakWorld) -> SoakVm:
    return world.random_state.choice(world.vms)


def pick_replica(world: SoakWorld) -> str:
    """:returns: a replica that has not left"""
    staying = [r for r in world.replicas if r not in world.history.leaving_ms]
    return world.random_state.choice(staying)


async def pause(world: SoakWorld, most_s: float = MAX_PAUSE_S) -> None:
    await asyncio.sleep(world.random_state.uniform(0.1, most_s))


@register
async def kill_vm(world: SoakWorld) -> None:
    vm = pick_vm(world)
    async with disturb(world, "kill_vm", vm.name):
        vm.process.end()
        await pause(world)
        vm.start()


@register
async def kill_all(world: SoakWorld) -> None:
    async with disturb(world, "kill_all", ""):
        for vm in world.vms:
            vm.process.end()
        for vm in world.vms:
            vm.start()
        await asyncio.sleep(1.0)


@register
async def stop_vm(world: SoakWorld) -> None:
    vm = pick_vm(world)
    async with disturb(world, "stop_vm", vm.name):
        vm.process.send(signal.SIGTERM)
        if not await vm.wait_end(vm.process_id, STOP_BOUND_S):
            world.history.problems.append(f"{vm.name} did not end after SIGTERM")
        vm.start()


@register
async def freeze_vm(world: SoakWorld) -> None:
    vm = pick_vm(world)
    async with disturb(world, "freeze_vm", vm.name):
        vm.process.send(signal.SIGSTOP)
        await pause(world, 2 * MAX_PAUSE_S)
        vm.process.send(signal.SIGCONT)


@register
async def hang_up(world: SoakWorld) -> None:
    pick_vm(world).process.send(signal.SIGHUP)


@register
async def store_down(world: SoakWorld) -> None:
    async with disturb(world, "store_down", ""):
        world.store.status = 503
        await pause(world, 2 * MAX_PAUSE_S)
        world.store.status = 200


@register
async def store_lapse(world: SoakWorld) -> None:
    """The store is down; entries run out, and come back after it."""
    async with disturb(world, "store_lapse", ""):
        world.store.status = 503
        await pause(world)
        staying = [r for r in world.replicas if r not in world.history.leaving_ms]
        for replica_id in staying:
            world.store.delete(f"servers/{replica_id}")
        world.store.status = 200
        await pause(world, 1.0)
        for replica_id in staying:
            if replica_id not in world.history.leaving_ms:
                world.register(replica_id)


@register
async def store_forgets(world: SoakWorld) -> None:
    world.publish()
    world.store.forget_history()


@register
async def cut_vm_off(world: SoakWorld) -> None:
    vm = pick_vm(world)
    mode = world.random_state.choice([LinkMode.CUT, LinkMode.SILENT])
    async with disturb(world, f"store_{mode}", vm.name):
        vm.store_link.set_mode(mode)
        await pause(world, 2 * MAX_PAUSE_S)
        vm.store_link.set_mode(LinkMode.OPEN)


@register
async def lose_flows(world: SoakWorld) -> None:
    """Open connections to a replica go silent for good; new ones work."""
    async with disturb(world, "lose_flows", ""):
        world.links[pick_replica(world)].lose_flows()
        await asyncio.sleep(0.5)


@register
async def cut_replica(world: SoakWorld) -> None:
    link = world.links[pick_replica(world)]
    mode = world.random_state.choice([LinkMode.CUT, LinkMode.SILENT])
    async with disturb(world, f"replica_{mode}", ""):
        link.set_mode(mode)
        await pause(world)
        link.set_mode(LinkMode.OPEN)


@register
async def fail_in_part(world: SoakWorld) -> None:
    """A replica loses answers, gives them twice, or refuses."""
    replica = world.replicas[pick_replica(world)]
    field = world.random_state.choice(["p_lost", "p_extra", "p_refused"])
    setattr(replica, field, 0.4)
    await pause(world, 3.0)
    setattr(replica, field, 0.0)


@register
async def mute_replica(world: SoakWorld) -> None:
    """A replica takes requests and answers none; its health is not asked."""
    replica = world.replicas[pick_replica(world)]
    async with disturb(world, "mute_replica", ""):
        replica.is_mute = True
        await pause(world, 3.0)
        replica.is_mute = False


@register
async def slow_engine(world: SoakWorld) -> None:
    """An engine takes several times as long for everything, and says so."""
    replica = world.replicas[pick_replica(world)]
    replica.set_pace(5.0)
    await pause(world, 4.0)
    replica.set_pace(1.0)


@register
async def replace_replica(world: SoakWorld) -> None:
    """A replica says that it leaves, goes on for a while, and is gone."""
    replica_id = pick_replica(world)
    await world.add_replica(world.services[replica_id])
    world.register(replica_id, state="draining")
    world.history.leaving_ms[replica_id] = now_ms()
    await asyncio.sleep(2 * LEAVING_MS / 1_000)
    world.store.delete(f"servers/{replica_id}")


@register
async def revoke_key(world: SoakWorld) -> None:
    if len(world.keys) > 5:
        world.revoke(world.random_state.choice(list(world.keys)))


@register
async def configure_often(world: SoakWorld) -> None:
    for _ in range(8):
        world.publish()
        await asyncio.sleep(0.1)


async def inject_for(
    world: SoakWorld, duration_s: float, kinds: Sequence[str]
) -> list[str]:
    """Inject faults at random times; they overlap.

    :param kinds: names of the faults to choose from
    :returns: names of those injected, in order
    """
    loop = asyncio.get_running_loop()
    until = loop.time() + duration_s
    names = []
    async with asyncio.TaskGroup() as group:
        while loop.time() < until:
            name = world.random_state.choice(sorted(kinds))
            names.append(name)
            group.create_task(FAULTS[name](world))  # type: ignore[arg-type]
            await asyncio.sleep(world.random_state.expovariate(1 / 0.8))
    return names


__all__ = ("FAULTS", "inject_for")
