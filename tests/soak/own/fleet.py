"""VMs of a fault run: controls them and records their state changes."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from tests.soak.own.caller import RecordingCaller

from quetzaldeck.directory import VmState
from quetzaldeck.history.events import (
    BundleSeen,
    MemoryHeld,
    UpstreamLeaving,
    VmKilled,
    VmPaused,
    VmResumed,
    VmStopping,
)

if TYPE_CHECKING:
    import random
    from collections.abc import Coroutine
    from typing import Any

    from tests.soak.own.caller import Target
    from tests.soak.own.control import VmControl
    from tests.soak.own.world import World

    from quetzaldeck.history import Recorder

LOAD_BALANCER_LAG_MS = 400.0
READY_TIMEOUT_MS = 20_000.0
POLL_INTERVAL_MS = 100.0
HTTP_OK = 200


class SoakFleet:
    """Starts, kills, pauses and stops VMs; stands in for the load balancer.

    ``gateways`` has the base URLs that the load balancer offers to callers, by VM.

    :param target: parameters of the calls
    :param random_state: chooses the VM of each call
    """

    def __init__(
        self,
        world: World,
        control: VmControl,
        recorder: Recorder,
        client: aiohttp.ClientSession,
        target: Target,
        random_state: random.Random,
    ) -> None:
        self._world = world
        self._control = control
        self._recorder = recorder
        self._client = client
        self._addresses: dict[str, str] = {}
        self._calls: set[asyncio.Task[None]] = set()
        self.gateways: dict[str, str] = {}
        self.caller = RecordingCaller(
            client, recorder, self.gateways, target, random_state
        )

    @property
    def world(self) -> World:
        """:returns: environment of the VMs: stand-ins, links and settings"""
        return self._world

    def start_call(self, call: Coroutine[Any, Any, None]) -> None:
        """Start a call in the background."""
        self._calls.add(asyncio.create_task(call))

    async def wait_for_calls(self) -> None:
        """Wait until every started call has ended."""
        await asyncio.gather(*self._calls)

    async def start_all(self) -> None:
        """Start all VMs concurrently."""
        for name in self._world.vm_names:
            self._world.set_state(name, VmState.LIVE)
        await asyncio.gather(*(self.start(name) for name in self._world.vm_names))

    async def start(self, name: str) -> None:
        """Start a VM on new ports and offer it to callers when it is ready.

        :raises TimeoutError: if it does not become ready
        """
        agent, gateway = self._world.build_vm(name)
        self._world.set_state(name, VmState.LIVE)
        await self._control.start(agent, gateway)
        address = f"http://{gateway.listen.host}:{gateway.listen.port}"
        async with asyncio.timeout(READY_TIMEOUT_MS / 1_000):
            while await self._fetch_bundle_version(address) == 0:
                await asyncio.sleep(POLL_INTERVAL_MS / 1_000)
        self._addresses[name] = address
        self.gateways[name] = address

    async def kill(self, name: str) -> None:
        """Kill a VM; the load balancer removes it after a lag."""
        self._recorder.record(VmKilled(self._recorder.now_ms(), name))
        await self._control.kill(name)
        self._addresses.pop(name, None)
        await asyncio.sleep(LOAD_BALANCER_LAG_MS / 1_000)
        self.gateways.pop(name, None)

    async def pause(self, name: str) -> None:
        """Pause a VM; its sockets still accept connections."""
        self._recorder.record(VmPaused(self._recorder.now_ms(), name))
        await self._control.pause(name)

    async def resume(self, name: str) -> None:
        """Resume a paused VM."""
        await self._control.resume(name)
        self._recorder.record(VmResumed(self._recorder.now_ms(), name))

    async def stop(self, name: str) -> int:
        """Stop a VM gracefully; the load balancer removes it after a lag.

        :returns: exit code of its gateway
        """
        self._recorder.record(VmStopping(self._recorder.now_ms(), name))
        self._world.set_state(name, VmState.LEAVING)
        stopping = asyncio.create_task(self._control.stop(name))
        await asyncio.sleep(LOAD_BALANCER_LAG_MS / 1_000)
        self.gateways.pop(name, None)
        exit_code = await stopping
        self._addresses.pop(name, None)
        self._world.set_state(name, None)
        return exit_code

    async def announce_upstream_leaving(self, name: str) -> None:
        """Mark an upstream as leaving in the platform's list and record when."""
        self._world.set_state(name, VmState.LEAVING)
        self._recorder.record(UpstreamLeaving(self._recorder.now_ms(), name))

    async def sample_bundles(self) -> None:
        """Record which bundle is in force on each ready VM, until cancelled."""
        while True:
            for name, address in tuple(self._addresses.items()):
                version = await self._fetch_bundle_version(address)
                now_ms = self._recorder.now_ms()
                if version:
                    self._recorder.record(BundleSeen(now_ms, name, version))
            await asyncio.sleep(POLL_INTERVAL_MS / 1_000)

    def record_memory(self) -> None:
        """Record the memory that engines hold, once all calls have ended."""
        now_ms = self._recorder.now_ms()
        for name, engine in self._world.engines.items():
            self._recorder.record(MemoryHeld(now_ms, name, engine.n_kv_tokens_used))

    async def _fetch_bundle_version(self, address: str) -> int:
        with suppress(aiohttp.ClientError, TimeoutError, msgspec.MsgspecError):
            async with (
                asyncio.timeout(1),
                self._client.get(address + "/readyz") as response,
            ):
                if response.status == HTTP_OK:
                    body = msgspec.json.decode(await response.read())
                    return int(body["bundle_version"])
        return 0


__all__ = ("SoakFleet",)
