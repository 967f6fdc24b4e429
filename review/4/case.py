"""The settings of VMs change while their processes start; each gets SIGHUP."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

import signal

from review.support.world import Replica, World, build_route, run_case

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
"""With TROUBLE=0 the disruption is left out."""
N_VMS = 4
N_RESTARTED = 2
N_ROUNDS = 3
HUP_DELAY_S = 0.15
RESTART_DELAY_S = 0.5
MAX_OWN_ENDS = 2
"""Three ends of its own of a process, on a tenth of the machines and two at least, break
the rule."""


async def restart(vm, round_number: int) -> bool:
    """Stop and start a VM, and change its settings while it starts.

    :returns: whether its process ended by itself
    """
    record = vm.world.record
    vm.signal(signal.SIGTERM)
    record.write(f"{vm.name} has ended with {await vm.process.wait()}")
    await asyncio.sleep(RESTART_DELAY_S)
    await vm.start(must_be_ready=False)
    await asyncio.sleep(HUP_DELAY_S)
    # A seed that is down, as the list of seeds may be stale.
    vm.seeds = [*vm.seeds[:2], vm.world.vm_host(100 + round_number)]
    vm.write_settings()
    record.write(f"the settings file of {vm.name} has changed")
    if HAS_TROUBLE:
        vm.signal(signal.SIGHUP)
    try:
        async with asyncio.timeout(1.0):
            status = await vm.process.wait()
    except TimeoutError:
        await vm.wait_ready()
        return False
    record.write(f"the process of {vm.name} has ended by itself, status {status}")
    await asyncio.sleep(RESTART_DELAY_S)
    await vm.start()
    return True


async def case(folder: Path) -> list[str]:
    async with World(folder) as world:
        world.configure([build_route("app", "app", "idempotent")])
        await world.add_replica(Replica(world, "i-1", "app"))
        vms = [world.add_vm() for _ in range(N_VMS)]
        await asyncio.gather(*(vm.start() for vm in vms))
        await asyncio.sleep(4.0)
        n_ends = dict.fromkeys((vm.name for vm in vms), 0)
        for number in range(N_ROUNDS):
            for vm in vms[:N_RESTARTED]:
                n_ends[vm.name] += await restart(vm, number)
        broken = [name for name, n in n_ends.items() if n > MAX_OWN_ENDS]
        if len(broken) < max(2, N_VMS / 10):
            return []
        return [f"{name} ended by itself {n_ends[name]} times" for name in broken]


if __name__ == "__main__":
    run_case(case)
