"""Several entry VMs of one zone before one store, in this process."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any

import uvloop
from tests.ports import choose_port
from tests.support.platform.site import (
    DESK,
    ENGINES,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY, StandInStore

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

    from quetzaldeck.entry.belief_sources import BeliefSources
    from quetzaldeck.entry.state import EntryState


class EntryVm:
    """One entry VM on a loopback address of its own."""

    def __init__(self, host: str, settings: EntrySettings) -> None:
        self.host = host
        self.entry = EntryService(settings)
        listen = ListenAddress(host, settings.peer_port)
        self.teller = BeliefService(listen, lambda: self.entry.session.feed)

    @property
    def state(self) -> EntryState:
        """:returns: what the VM believes and decides"""
        return self.entry.session.state

    @property
    def sources(self) -> BeliefSources:
        """:returns: whom the VM asks for news"""
        return self.entry.session.sources

    @property
    def version(self) -> int:
        """:returns: version in force; 0: none"""
        view = self.state.view
        return 0 if view is None else view.version

    async def start(self) -> None:
        """Start both sides."""
        await self.entry.start()
        await self.teller.start()

    async def stop(self) -> None:
        """Stop both sides."""
        await self.teller.stop()
        await self.entry.stop()


class EntryFleet:
    """VMs and the store; a context manager."""

    def __init__(self, n_vms: int = 3, *, zone: str = "a") -> None:
        self._zone = zone
        self._stack = AsyncExitStack()
        self._peer_port = choose_port()
        self._hosts = [f"127.0.1.{index + 1}" for index in range(n_vms)]
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
        await self.wait(self._has_met)
        return self

    async def __aexit__(self, *exc: object) -> None:
        for host in list(self.vms):
            await self.stop(host)
        await self._stack.aclose()

    def put_replica(self, name: str, service: str, *, state: str = "ready") -> None:
        """Write a replica's entry."""
        entry = build_entry(service, "127.0.0.1:9", state=state)
        self.store.put(f"servers/{name}", entry)

    async def start(self, host: str) -> EntryVm:
        """Start a VM, for the first time or again."""
        port = choose_port()
        listen = EntryListen(f"{host}:{port}", f"{host}:{choose_port()}")
        settings = EntrySettings(
            f"entry-{host}",
            self._zone,
            listen,
            self.store.address,
            seeds=tuple(f"{seed}:1" for seed in self._hosts[:3]),
            peer_port=self._peer_port,
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
        """Wait for something that takes a moment."""
        async with asyncio.timeout(timeout_ms / 1_000):
            while not is_met():
                await asyncio.sleep(0.01)

    def _has_met(self) -> bool:
        return all(
            len(vm.sources.list_neighbours()) == len(self.vms) - 1
            for vm in self.vms.values()
        )


def run_fleet(
    test: Callable[[EntryFleet], Coroutine[Any, Any, None]], n_vms: int = 3
) -> None:
    """Run a test against a fleet of its own."""

    async def bounded() -> None:
        async with asyncio.timeout(40), EntryFleet(n_vms) as fleet:
            await test(fleet)

    uvloop.run(bounded())


__all__ = ("EntryFleet", "EntryVm", "run_fleet")
