"""Faults of the soak, injected from outside of the processes."""

from __future__ import annotations

import asyncio
import random
import signal
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

from tests.soak.entry.history import Disturbance, now_ms
from tests.soak.entry.world import GRACE_S, LEAVING_MS
from tests.soak.own.link import LinkMode

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable, Sequence

    from tests.soak.entry.world import SoakVm, SoakWorld

    Fault = Callable[[SoakWorld, random.Random], Awaitable[None]]

FAULTS: dict[str, Fault] = {}
SETTLE_MS = 1_500.0
"""For how long after its end a fault still counts as one: timeouts, restarts."""

MEAN_GAP_S = 0.8
"""Between the beginnings of two faults."""

MAX_PAUSE_S = 2.0
STOP_BOUND_S = GRACE_S + 2 * MAX_PAUSE_S + 2.0
"""A VM may be paused while it stops."""


class PlannedFault(NamedTuple):
    """A fault and its time, drawn before the run: one seed gives one plan.

    :param at_s: seconds from the begin of the run
    :param seed: for what the fault chooses itself, e.g. a VM
    """

    at_s: float
    name: str
    seed: int


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


def pick_vm(world: SoakWorld, random_state: random.Random) -> SoakVm:
    return random_state.choice(world.vms)


def pick_replica(world: SoakWorld, random_state: random.Random) -> str:
    """:returns: a replica that has not left"""
    staying = [r for r in world.replicas if r not in world.history.leaving_ms]
    return random_state.choice(staying)


async def pause(random_state: random.Random, most_s: float = MAX_PAUSE_S) -> None:
    await asyncio.sleep(random_state.uniform(0.1, most_s))


@register
async def kill_vm(world: SoakWorld, random_state: random.Random) -> None:
    vm = pick_vm(world, random_state)
    async with disturb(world, "kill_vm", vm.name):
        vm.process.end()
        await pause(random_state)
        vm.start()


@register
async def kill_all(world: SoakWorld, random_state: random.Random) -> None:
    async with disturb(world, "kill_all", ""):
        for vm in world.vms:
            vm.process.end()
        for vm in world.vms:
            vm.start()
        await asyncio.sleep(1.0)


@register
async def stop_vm(world: SoakWorld, random_state: random.Random) -> None:
    vm = pick_vm(world, random_state)
    async with disturb(world, "stop_vm", vm.name):
        vm.process.send(signal.SIGTERM)
        if not await vm.wait_end(vm.process_id, STOP_BOUND_S):
            world.history.problems.append(f"{vm.name} did not end after SIGTERM")
        vm.start()


@register
async def freeze_vm(world: SoakWorld, random_state: random.Random) -> None:
    vm = pick_vm(world, random_state)
    async with disturb(world, "freeze_vm", vm.name):
        vm.process.send(signal.SIGSTOP)
        await pause(random_state, 2 * MAX_PAUSE_S)
        vm.process.send(signal.SIGCONT)


@register
async def hang_up(world: SoakWorld, random_state: random.Random) -> None:
    pick_vm(world, random_state).process.send(signal.SIGHUP)


@register
async def store_down(world: SoakWorld, random_state: random.Random) -> None:
    async with disturb(world, "store_down", ""):
        world.store.status = 503
        await pause(random_state, 2 * MAX_PAUSE_S)
        world.store.status = 200


@register
async def store_lapse(world: SoakWorld, random_state: random.Random) -> None:
    """The store is down; entries run out, and come back after it."""
    async with disturb(world, "store_lapse", ""):
        world.store.status = 503
        await pause(random_state)
        staying = [r for r in world.replicas if r not in world.history.leaving_ms]
        for replica_id in staying:
            world.store.delete(f"servers/{replica_id}")
        world.store.status = 200
        await pause(random_state, 1.0)
        for replica_id in staying:
            if replica_id not in world.history.leaving_ms:
                world.register(replica_id)


@register
async def store_forgets(world: SoakWorld, random_state: random.Random) -> None:
    world.publish()
    world.store.forget_history()


@register
async def cut_vm_off(world: SoakWorld, random_state: random.Random) -> None:
    vm = pick_vm(world, random_state)
    mode = random_state.choice([LinkMode.CUT, LinkMode.SILENT])
    async with disturb(world, f"store_{mode}", vm.name):
        vm.store_link.set_mode(mode)
        await pause(random_state, 2 * MAX_PAUSE_S)
        vm.store_link.set_mode(LinkMode.OPEN)


@register
async def lose_flows(world: SoakWorld, random_state: random.Random) -> None:
    """Open connections to a replica go silent for good; new ones work."""
    async with disturb(world, "lose_flows", ""):
        world.links[pick_replica(world, random_state)].lose_flows()
        await asyncio.sleep(0.5)


@register
async def cut_replica(world: SoakWorld, random_state: random.Random) -> None:
    link = world.links[pick_replica(world, random_state)]
    mode = random_state.choice([LinkMode.CUT, LinkMode.SILENT])
    async with disturb(world, f"replica_{mode}", ""):
        link.set_mode(mode)
        await pause(random_state)
        link.set_mode(LinkMode.OPEN)


@register
async def fail_in_part(world: SoakWorld, random_state: random.Random) -> None:
    """A replica loses answers, gives them twice, or refuses."""
    replica = world.replicas[pick_replica(world, random_state)]
    field = random_state.choice(["p_lost", "p_extra", "p_refused"])
    setattr(replica, field, 0.4)
    await pause(random_state, 3.0)
    setattr(replica, field, 0.0)


@register
async def mute_replica(world: SoakWorld, random_state: random.Random) -> None:
    """A replica takes requests and answers none; its health is not asked."""
    replica = world.replicas[pick_replica(world, random_state)]
    async with disturb(world, "mute_replica", ""):
        replica.is_mute = True
        await pause(random_state, 3.0)
        replica.is_mute = False


@register
async def slow_engine(world: SoakWorld, random_state: random.Random) -> None:
    """An engine takes several times as long for everything, and says so."""
    replica = world.replicas[pick_replica(world, random_state)]
    replica.set_pace(5.0)
    await pause(random_state, 4.0)
    replica.set_pace(1.0)


@register
async def replace_replica(world: SoakWorld, random_state: random.Random) -> None:
    """A replica says that it leaves, goes on for a while, and is gone."""
    replica_id = pick_replica(world, random_state)
    await world.add_replica(world.services[replica_id])
    world.register(replica_id, state="draining")
    world.history.leaving_ms[replica_id] = now_ms()
    await asyncio.sleep(2 * LEAVING_MS / 1_000)
    world.store.delete(f"servers/{replica_id}")


@register
async def revoke_key(world: SoakWorld, random_state: random.Random) -> None:
    if len(world.keys) > 5:
        world.revoke(random_state.choice(list(world.keys)))


@register
async def configure_often(world: SoakWorld, random_state: random.Random) -> None:
    for _ in range(8):
        world.publish()
        await asyncio.sleep(0.1)


def plan_faults(
    random_state: random.Random, duration_s: float, kinds: Sequence[str]
) -> tuple[PlannedFault, ...]:
    """Draw faults at random times; they overlap.

    :param kinds: names of the faults to choose from
    """
    plan = []
    at_s = 0.0
    while at_s < duration_s:
        name = random_state.choice(sorted(kinds))
        plan.append(PlannedFault(at_s, name, random_state.getrandbits(32)))
        at_s += random_state.expovariate(1 / MEAN_GAP_S)
    return tuple(plan)


async def inject(world: SoakWorld, plan: Sequence[PlannedFault]) -> list[str]:
    """Inject the faults of a plan and wait until the last one is over.

    :returns: names of those injected, in order
    """
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    names = []
    async with asyncio.TaskGroup() as group:
        for fault in plan:
            await asyncio.sleep(max(0.0, begin_s + fault.at_s - loop.time()))
            names.append(fault.name)
            injecting = FAULTS[fault.name](world, random.Random(fault.seed))
            group.create_task(injecting)  # type: ignore[arg-type]
    return names


__all__ = ("FAULTS", "PlannedFault", "inject", "plan_faults")
