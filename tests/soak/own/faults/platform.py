"""Faults of the configuration service and the VM list, and bundle changes."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.soak.own.faults.api import Fault, faults
from tests.soak.own.link import LinkMode

from quetzaldeck.directory import VmState

if TYPE_CHECKING:
    import random

    from tests.soak.own.fleet import SoakFleet

N_STALE_LISTS = 3
PUBLISH_INTERVAL_MS = 700.0


@faults.register("configuration_down")
class ConfigurationDown(Fault):
    """The configuration service fails; a bundle is published when it is back."""

    async def begin(self) -> None:
        """Take the service down."""
        self._fleet.world.configuration.is_down = True

    async def end(self) -> None:
        """Bring the service back and publish a bundle."""
        self._fleet.world.configuration.is_down = False
        await self._fleet.world.publish_bundle()


@faults.register("configuration_hanging")
class ConfigurationHanging(Fault):
    """All VMs but one lose the configuration service while a bundle is published.

    Their connections to it stay open but carry no bytes.
    """

    async def begin(self) -> None:
        """Silence the connections of all VMs but one, then publish a bundle."""
        names = sorted(self._fleet.world.configuration_links)
        unaffected = self._random_state.choice(names)
        for name in names:
            if name != unaffected:
                self._fleet.world.configuration_links[name].set_mode(LinkMode.SILENT)
        await self._fleet.world.publish_bundle()

    async def end(self) -> None:
        """Let new connections through."""
        for link in self._fleet.world.configuration_links.values():
            link.set_mode(LinkMode.OPEN)


@faults.register("stale_lists")
class StaleLists(Fault):
    """Some VMs read a VM list that lacks the others."""

    async def begin(self) -> None:
        """Reduce the lists of a few VMs to entries of these VMs and of upstreams."""
        world = self._fleet.world
        names = list(world.vm_names)
        self._random_state.shuffle(names)
        listed = names[:N_STALE_LISTS]
        omitted = names[N_STALE_LISTS:]
        entries = tuple(vm for vm in world.list_vms() if vm.vm not in omitted)
        for name in listed:
            world.vm_lists[name].set_vms(entries)

    async def end(self) -> None:
        """Restore the correct list for all VMs."""
        world = self._fleet.world
        for vm_list in world.vm_lists.values():
            vm_list.set_vms(world.list_vms())


@faults.register("list_drops_live_vm")
class ListDropsLiveVm(Fault):
    """The platform's list lacks a VM that is alive."""

    def __init__(self, fleet: SoakFleet, random_state: random.Random) -> None:
        super().__init__(fleet, random_state)
        self._vm = self._choose_vm()

    @property
    def target(self) -> str:
        """:returns: the VM that is missing from the list"""
        return self._vm

    async def begin(self) -> None:
        """Remove the VM from the list."""
        self._fleet.world.set_state(self._vm, None)

    async def end(self) -> None:
        """Restore its entry."""
        self._fleet.world.set_state(self._vm, VmState.LIVE)


@faults.register("bundle_rolls")
class BundleRolls(Fault):
    """Operators publish several bundles in quick succession."""

    async def begin(self) -> None:
        """Publish five bundles."""
        for _ in range(5):
            await self._fleet.world.publish_bundle()
            await asyncio.sleep(PUBLISH_INTERVAL_MS / 1_000)

    async def end(self) -> None:
        """Do nothing."""


__all__ = (
    "BundleRolls",
    "ConfigurationDown",
    "ConfigurationHanging",
    "ListDropsLiveVm",
    "StaleLists",
)
