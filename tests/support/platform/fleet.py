"""Several entry VMs that share one store, in this process."""

from __future__ import annotations

import asyncio
from collections import Counter
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

from tests.ports import choose_port
from tests.support.platform.site import (
    DESK,
    ENGINES,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY, StandInStore
from tests.support.virtual_time import run_by_default

from quetzaldeck.entry.handover_service import HandoverService
from quetzaldeck.entry.peers import BeliefService
from quetzaldeck.entry.service import EntryService
from quetzaldeck.entry.settings import (
    EntryListen,
    EntryProcessor,
    EntrySettings,
)
from quetzaldeck.http import ListenAddress

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from contextlib import AbstractAsyncContextManager

    from quetzaldeck.entry.belief_sources import BeliefSources
    from quetzaldeck.entry.state import EntryState


class EntryVm:
    """One entry VM on its own loopback address."""

    def __init__(self, host: str, settings: EntrySettings) -> None:
        self.host = host
        self.zone = settings.availability_zone
        self.address = settings.listen.callers
        self.entry = EntryService(settings)
        listen = ListenAddress(host, settings.peer_port)
        self.belief_service = BeliefService(listen, lambda: self.entry.session.feed)
        listen = ListenAddress(host, settings.handover_port)
        self.handover_service = HandoverService(listen, lambda: self.state)

    @property
    def state(self) -> EntryState:
        """:returns: the VM's state: its view of the fleet and its decisions"""
        return self.entry.session.state

    @property
    def sources(self) -> BeliefSources:
        """:returns: the sources from which the VM gets updates"""
        return self.entry.session.sources

    @property
    def version(self) -> int:
        """:returns: version of the configuration in force; 0: none"""
        view = self.state.view
        return 0 if view is None else view.version

    async def start(self) -> None:
        """Start the service for callers and the one for peers."""
        await self.entry.start()
        await self.belief_service.start()
        await self.handover_service.start()

    async def stop(self) -> None:
        """Stop the service for peers and the one for callers."""
        await self.handover_service.stop()
        await self.belief_service.stop()
        await self.entry.stop()


class EntryFleet:
    """Entry VMs and the store; a context manager.

    :param zones: availability zone of each VM; by default all are in one
    """

    def __init__(
        self,
        n_vms: int = 3,
        *,
        zone: str = "a",
        zones: tuple[str, ...] = (),
    ) -> None:
        self._zones = zones or (zone,) * n_vms
        self._stack = AsyncExitStack()
        self._peer_port = choose_port()
        self._handover_port = choose_port()
        self._hosts = [f"127.0.1.{index + 1}" for index in range(len(self._zones))]
        self._zone_by_host = dict(zip(self._hosts, self._zones, strict=True))
        self.store = StandInStore()
        self.vms: dict[str, EntryVm] = {}

    async def __aenter__(self) -> EntryFleet:
        await self._stack.enter_async_context(self.store)
        self.store.put(CONFIGURATION_KEY, build_configuration())
        for name, service in (("e0", ENGINES), ("d0", DESK)):
            self.put_replica(name, service)
        for host in self._hosts:
            await self.start(host)
        await self.wait(lambda: all(vm.version == 1 for vm in self.vms.values()))
        await self.wait(self._members_agree)
        return self

    async def __aexit__(self, *exc: object) -> None:
        for host in list(self.vms):
            await self.stop(host)
        await self._stack.aclose()

    async def enter(self, resource: AbstractAsyncContextManager[object]) -> None:
        """Enter a context that is left after the VMs have stopped."""
        await self._stack.enter_async_context(resource)

    def put_replica(self, name: str, service: str, *, state: str = "ready") -> None:
        """Write a replica's entry to the store."""
        entry = build_entry(service, "127.0.0.1:9", state=state)
        self.store.put(f"servers/{name}", entry)

    async def start(self, host: str) -> EntryVm:
        """Start a VM that was never started or has been stopped."""
        port = choose_port()
        listen = EntryListen(f"{host}:{port}", f"{host}:{choose_port()}")
        settings = EntrySettings(
            f"entry-{host}",
            self._zone_by_host.get(host, self._zones[0]),
            listen,
            self.store.address,
            seeds=tuple(f"{seed}:1" for seed in self._hosts[:3]),
            peer_port=self._peer_port,
            handover_port=self._handover_port,
            upstream_source=host,
            processor=EntryProcessor(share=0.1234),
        )
        vm = EntryVm(host, settings)
        self.vms[host] = vm
        await vm.start()
        return vm

    async def stop(self, host: str) -> None:
        """Stop a VM."""
        await self.vms.pop(host).stop()

    def list_watchers(self) -> tuple[str, ...]:
        """:returns: hosts of the VMs that watch the store"""
        vm = next(iter(self.vms.values()))
        others = [host for host in self.vms if host != vm.host]
        now_ms = vm.state.clock.uptime_ms()
        return vm.sources.selector.list_watchers(others, (), now_ms)

    async def wait(
        self, is_met: Callable[[], bool], *, timeout_ms: float = 10_000
    ) -> None:
        """Wait until ``is_met`` returns true.

        :raises TimeoutError: if it does not in time
        """
        async with asyncio.timeout(timeout_ms / 1_000):
            while not is_met():
                await asyncio.sleep(0.01)

    def _members_agree(self) -> bool:
        n_in_zone = Counter(vm.zone for vm in self.vms.values())
        return all(
            len(vm.sources.list_neighbours()) == n_in_zone[vm.zone] - 1
            for vm in self.vms.values()
        )


def run_fleet(
    test: Callable[[EntryFleet], Coroutine[Any, Any, None]],
    n_vms: int = 3,
    *,
    zones: tuple[str, ...] = (),
) -> None:
    """Run a test against its own fleet.

    It runs in virtual time, unless the whole run is in real time.
    """

    async def bounded() -> None:
        async with (
            asyncio.timeout(40),
            EntryFleet(n_vms, zones=zones) as fleet,
        ):
            await test(fleet)

    run_by_default(bounded())


__all__ = ("EntryFleet", "EntryVm", "run_fleet")
