"""Platform and entry VMs of one soak run."""

from __future__ import annotations

import asyncio
import random
import time
from contextlib import AsyncExitStack
from enum import StrEnum
from typing import TYPE_CHECKING, Any

import yaml
from tests.ports import choose_port
from tests.soak.entry.history import Culprit, History, now_ms
from tests.soak.entry.replicas import SoakReplica
from tests.soak.own.link import Link, LinkMode, PathMode
from tests.support.platform.site import (
    DESK,
    ENGINES,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY, StandInStore
from tests.system.program_process import ProgramProcess

if TYPE_CHECKING:
    from pathlib import Path

N_ENGINES = 5
N_DESKS = 3
REVOCATION_MS = 2_500.0
LEAVING_MS = 1_200.0
EVACUATION_MS = 1_500.0
"""Longer than ``LEAVING_MS``, so that the intervals of polls do not depend on it."""
GRACE_S = 3.0
FREE_MS = 1_500.0
MEMORY_MB = 300.0
RESTART_S = (0.5, 1.5)
"""How long a replica takes to start again after a crash."""
EXPIRY_S = (2.5, 3.6)
"""Time after which the store removes the entry of a replica that has ended."""
KEEPS_ID_PROBABILITY = 0.3


class Ending(StrEnum):
    """What is left at the address of a replica that has crashed.

    ``REFUSES``: nothing listens there until it starts again. ``RESETS`` and ``SILENT``:
    connections are accepted and reset, or get no answer, and it starts elsewhere.
    """

    REFUSES = "refuses"
    RESETS = "resets"
    SILENT = "silent"


_LINK_MODES = {Ending.RESETS: LinkMode.CUT, Ending.SILENT: LinkMode.SILENT}


class SoakVm:
    """One entry VM: its process, its addresses and its link to the store."""

    def __init__(self, name: str, host: str, ports: tuple[int, int, int, int]) -> None:
        self.name = name
        self.host = host
        self.address = f"{host}:{ports[0]}"
        self.readiness = f"{host}:{ports[1]}"
        self.peer_port = ports[2]
        self.handover_port = ports[3]
        self.settings_text = ""
        self.store_link: Link
        self.process: ProgramProcess
        self.is_in_rotation = False

    @property
    def process_id(self) -> int:
        """:returns: id of the most recently started process"""
        return self.process.process_id

    def list_addresses(self) -> tuple[str, ...]:
        """:returns: all addresses on which it listens"""
        others = (
            f"{self.host}:{port}" for port in (self.peer_port, self.handover_port)
        )
        return (self.address, self.readiness, *others)

    def start(self) -> None:
        """Start the process, unless another fault has already started it."""
        if not self.process.is_running:
            self.process.start()

    async def wait_until_ended(self, process_id: int, timeout_s: float) -> bool:
        """:returns: whether a process ended in time, by itself or by another fault"""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        while loop.time() < end_s:
            if self.process_id != process_id or not self.process.is_running:
                return True
            await asyncio.sleep(0.05)
        return False


class SoakWorld:
    """Owns the store, replicas, links and VMs as a context manager.

    :param directory: directory for settings and logs
    :param memory_mb: memory of each VM
    """

    def __init__(
        self, directory: Path, *, seed: int, n_vms: int, memory_mb: float = MEMORY_MB
    ) -> None:
        self._directory = directory
        self.memory_mb = memory_mb
        self._stack = AsyncExitStack()
        self._n_replicas = 0
        self._n_calls = 0
        self.random_state = random.Random(seed)
        self.history = History()
        self.store = StandInStore()
        ports = (choose_port(), choose_port(), choose_port(), choose_port())
        self.vms = [
            SoakVm(f"vm{index}", f"127.0.0.{index + 11}", ports)
            for index in range(n_vms)
        ]
        self.replicas: dict[str, SoakReplica] = {}
        self.links: dict[str, Link] = {}
        self.services: dict[str, str] = {}
        self.zones: dict[str, str] = {}
        self.culprits: dict[Culprit, str] = {}
        self.bad_parts: set[str] = set()
        self.endings: dict[str, Ending] = {}
        self._ended: set[str] = set()
        self._paths: dict[str, PathMode] = {}
        self._started_ms: dict[str, int] = {}
        self._restarts: set[asyncio.Task[None]] = set()
        self.keys = {f"key{number}": f"gym{number % 3}" for number in range(30)}
        self.version = 0
        self.n_wanting_long_calls = 0
        self.n_wanting_returns = 0
        self.n_endless = 0

    async def __aenter__(self) -> SoakWorld:
        enter = self._stack.enter_async_context
        await enter(self.store)
        for _ in range(N_ENGINES):
            await self.add_replica(ENGINES)
        for _ in range(N_DESKS):
            await self.add_replica(DESK)
        self.publish()
        store_port = int(self.store.address.rpartition(":")[2])
        for vm in self.vms:
            vm.store_link = await enter(Link(store_port))
            vm.process = ProgramProcess(
                "entry", self._write_settings(vm), f"http://{vm.address}"
            )
            self._stack.callback(vm.process.end)
            vm.process.start()
        return self

    async def __aexit__(self, *exc: object) -> None:
        for task in self._restarts:
            task.cancel()
        await asyncio.gather(*self._restarts, return_exceptions=True)
        await self._stack.aclose()

    @property
    def serving(self) -> list[str]:
        """:returns: ids of the replicas that are neither leaving nor ended"""
        gone = self._ended | self.history.leaving_ms.keys()
        return [replica_id for replica_id in self.replicas if replica_id not in gone]

    def crash_replica(self, replica_id: str, ending: Ending = Ending.REFUSES) -> None:
        """End a replica as a crash does; it starts again after a while.

        :param ending: what is left at its address
        """
        self._ended.add(replica_id)
        self.replicas[replica_id].reserved_until_ms.clear()
        if ending is Ending.REFUSES:
            self.links[replica_id].stop_listening()
            restart = self._restart_replica(replica_id)
        else:
            self.links[replica_id].set_mode(_LINK_MODES[ending])
            restart = self._replace_replica(replica_id)
        task = asyncio.create_task(restart)
        self._restarts.add(task)
        task.add_done_callback(self._restarts.discard)

    async def _restart_replica(self, before: str) -> None:
        """Start a replica again at its address, under a new id or the same one."""
        await asyncio.sleep(self.random_state.uniform(*RESTART_S))
        link = self.links[before]
        keeps_id = self.random_state.random() < KEEPS_ID_PROBABILITY
        replica_id = before if keeps_id else self._new_replica_id()
        replica = SoakReplica(replica_id, self)
        await self._stack.enter_async_context(replica.server)
        port = int(replica.server.address.rpartition(":")[2])
        await link.listen_again(port)
        self.replicas[replica_id] = replica
        self.links[replica_id] = link
        self.services[replica_id] = self.services[before]
        if keeps_id:
            self._ended.discard(before)
            # The new process owes nothing for what the one before has said.
            self.history.rests.pop(before, None)
            self.history.told_leaving.pop(before, None)
            self._started_ms[before] = round(time.time() * 1_000)
        self.register(replica_id)
        if not keeps_id:
            await asyncio.sleep(self.random_state.uniform(0.0, 1.0))
            self.store.delete(f"servers/{before}")

    async def _replace_replica(self, before: str) -> None:
        """Start a replica elsewhere; the entry of the one before expires."""
        await asyncio.sleep(self.random_state.uniform(*RESTART_S))
        await self.add_replica(self.services[before])
        await asyncio.sleep(self.random_state.uniform(*EXPIRY_S) - RESTART_S[0])
        self.store.delete(f"servers/{before}")

    def new_call_number(self) -> int:
        """:returns: a number that no other call of a culprit's caller has"""
        self._n_calls += 1
        return self._n_calls

    def _new_replica_id(self) -> str:
        self._n_replicas += 1
        return f"r{self._n_replicas - 1}"

    async def add_replica(self, service: str) -> SoakReplica:
        """Start another replica and register it."""
        replica_id = self._new_replica_id()
        replica = SoakReplica(replica_id, self)
        await self._stack.enter_async_context(replica.server)
        port = int(replica.server.address.rpartition(":")[2])
        link = await self._stack.enter_async_context(Link(port))
        self.replicas[replica_id] = replica
        for host, mode in self._paths.items():
            link.set_path(host, mode)
        self.links[replica_id] = link
        self.services[replica_id] = service
        self.register(replica_id)
        return replica

    def register(self, replica_id: str, *, state: str = "ready") -> None:
        """Write a replica's entry with the address of its link."""
        address = self.links[replica_id].address.removeprefix("http://")
        service = self.services[replica_id]
        started_ms = self._started_ms.setdefault(replica_id, round(time.time() * 1_000))
        zone = self.zones.get(replica_id, "a")
        entry = build_entry(
            service, address, zone=zone, slots=16, state=state, born=started_ms
        )
        self.store.put(f"servers/{replica_id}", entry)

    def set_path(self, vm: SoakVm, mode: PathMode) -> None:
        """Change the paths from a VM to all replicas, also to later ones."""
        self._paths[vm.host] = mode
        for link in self.links.values():
            link.set_path(vm.host, mode)

    def publish(self, **changes: Any) -> None:
        """Publish the next version of the configuration."""
        self.version += self.random_state.randint(1, 3)
        owners: dict[str, list[str]] = {}
        for key, owner in self.keys.items():
            owners.setdefault(owner, []).append(key)
        tenants = [{"name": name, "apiKeys": keys} for name, keys in owners.items()]
        value = build_configuration(self.version, tenants=tenants, **changes)
        self.store.put(CONFIGURATION_KEY, value)

    def revoke(self, key: str) -> None:
        """Revoke an API key."""
        del self.keys[key]
        self.publish()
        self.history.revoked_ms[key] = now_ms()

    async def wait_ready(self) -> None:
        """Wait until all VMs are ready."""
        async with asyncio.timeout(30):
            while not all(vm.is_in_rotation for vm in self.vms):
                await asyncio.sleep(0.05)

    def _write_settings(self, vm: SoakVm) -> Path:
        settings = {
            "vm": vm.name,
            "availability_zone": "a",
            "listen": {"callers": vm.address, "readiness": vm.readiness},
            "store_address": vm.store_link.address.removeprefix("http://"),
            "seeds": [other.address for other in self.vms[:3]],
            "peer_port": vm.peer_port,
            "handover_port": vm.handover_port,
            "upstream_source": vm.host,
            "bounds": {
                "key_revocation_ms": REVOCATION_MS,
                "leaving_ms": LEAVING_MS,
                "evacuation_ms": EVACUATION_MS,
                "grace_s": GRACE_S,
                "free_ms": FREE_MS,
                "memory_mb": self.memory_mb,
            },
        }
        path = self._directory / f"{vm.name}.yaml"
        vm.settings_text = yaml.safe_dump(settings)
        path.write_text(vm.settings_text, encoding="utf-8")
        return path


__all__ = (
    "FREE_MS",
    "GRACE_S",
    "LEAVING_MS",
    "REVOCATION_MS",
    "Ending",
    "SoakVm",
    "SoakWorld",
)
