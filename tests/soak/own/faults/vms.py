"""Faults of entry VMs."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.soak.own.faults.api import Fault, faults

if TYPE_CHECKING:
    import random

    from tests.soak.own.fleet import SoakFleet

PAUSE_MS = 3_000.0


class _SingleVmFault(Fault):
    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        self._vm = self._choose_vm()

    @property
    def target(self) -> str:
        """:returns: the VM that fails"""
        return self._vm


@faults.register("kill_vm")
class KillVm(_SingleVmFault):
    """A VM is killed and replaced under the same id."""

    async def begin(self) -> None:
        """Kill the VM."""
        await self._fleet.kill(self._vm)

    async def end(self) -> None:
        """Start the replacement."""
        await self._fleet.start(self._vm)


@faults.register("pause_vm")
class PauseVm(_SingleVmFault):
    """A VM's processes are suspended and resume later."""

    async def begin(self) -> None:
        """Pause the VM."""
        await self._fleet.pause(self._vm)
        await asyncio.sleep(PAUSE_MS / 1_000)

    async def end(self) -> None:
        """Resume the VM."""
        await self._fleet.resume(self._vm)


@faults.register("kill_zone")
class KillZone(Fault):
    """All VMs of a zone are killed together and replaced."""

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        zone = fleet.world.zone_of(self._choose_vm())
        self._vms = [
            vm for vm in fleet.world.vm_names if fleet.world.zone_of(vm) == zone
        ]

    @property
    def target(self) -> str:
        """:returns: the VMs that are killed"""
        return ",".join(self._vms)

    async def begin(self) -> None:
        """Kill the VMs of the zone."""
        await asyncio.gather(*(self._fleet.kill(vm) for vm in self._vms))

    async def end(self) -> None:
        """Start the replacements."""
        await asyncio.gather(*(self._fleet.start(vm) for vm in self._vms))


@faults.register("rolling_replacement")
class RollingReplacement(Fault):
    """Every VM is stopped gracefully and replaced, one by one."""

    async def begin(self) -> None:
        """Replace all VMs."""
        for vm in self._fleet.world.vm_names:
            await self._fleet.stop(vm)
            await self._fleet.start(vm)

    async def end(self) -> None:
        """Do nothing."""


__all__ = ("KillVm", "KillZone", "PauseVm", "RollingReplacement")
