"""Callers of the soak whose requests crash each replica that runs them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.soak.entry.history import Culprit
from tests.soak.entry.world import Ending
from tests.support.platform.site import HOST

if TYPE_CHECKING:
    import random

    from tests.soak.entry.world import SoakVm, SoakWorld

MAX_COPIES = 3
"""Copies that are sent at once, through different VMs."""

MEAN_INTERVAL_S = 0.3
DEADLINE_MS = 800
LEAVING_SHARES = (0.0, 0.5, 0.9)
"""Shares of the copies whose callers leave; one is drawn for each culprit."""

MAX_STAY_MS = 20.0
"""Longest time for which such a caller stays; a copy runs for 8 ms."""

BAD_SHARE = 0.25
"""Share of the prompts that have a bad part."""

REFUSED = b"poison_suspected"
"""Reason that a VM gives if it takes a request for one that crashes replicas."""


class _Sent(NamedTuple):
    """A request as its caller sends it."""

    path: str
    body: bytes
    key: str


class BadParts:
    """Sends prompts that share a part which crashes engines, and no two alike.

    Sound prompts share their callers and their other parts.
    """

    def __init__(self, world: SoakWorld, random_state: random.Random) -> None:
        self._world = world
        self._random_state = random_state
        self._part = f"bad{len(world.bad_parts):x}"
        world.bad_parts.add(self._part)
        world.endings[self._part] = random_state.choice(list(Ending))
        self._keys = random_state.sample(sorted(world.keys), 4)
        self._leaving_share = random_state.choice(LEAVING_SHARES)

    async def send(self, duration_s: float) -> None:
        """Send prompts at random times, three in four of them sound."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            while loop.time() < end_s:
                vms = [vm for vm in self._world.vms if vm.is_in_rotation]
                if vms:
                    vm = self._random_state.choice(vms)
                    group.create_task(self._call(client, vm))
                rate_per_s = 4 / MEAN_INTERVAL_S
                await asyncio.sleep(self._random_state.expovariate(rate_per_s))

    async def _call(self, client: aiohttp.ClientSession, vm: SoakVm) -> None:
        draw = self._random_state
        number = self._world.new_call_number()
        parts = ["5a", f"c{draw.randrange(3):x}", f"{number + 0x1000:x}"]
        is_bad = draw.random() < BAD_SHARE
        if is_bad:
            parts.insert(draw.randrange(len(parts)), self._part)
        leaves = is_bad and draw.random() < self._leaving_share
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{vm.name}/x{number}",
            "Quetzaldeck-Deadline-Ms": str(DEADLINE_MS),
            "Quetzaldeck-Key": draw.choice(self._keys),
            "Quetzaldeck-Token-Counts": f"{draw.randint(1_000, 3_000)},100",
            "Quetzaldeck-Prefix-Hash": ",".join(f"{part}:100" for part in parts),
        }
        stay_ms = draw.uniform(1.0, MAX_STAY_MS) if leaves else 2.0 * DEADLINE_MS
        url = f"http://{vm.address}/plan/{number}"
        try:
            async with (
                asyncio.timeout(stay_ms / 1_000),
                client.post(url, data=f"prompt {number}", headers=headers) as response,
            ):
                answer = await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return
        if REFUSED in answer and not is_bad:
            finding = f"{vm.name} refused a prompt with {parts} beside {self._part}"
            self._world.history.false_refusals.append(finding)


class Culprits:
    """Sends a culprit and its neighbours; records neighbours that are taken for it."""

    def __init__(self, world: SoakWorld, random_state: random.Random) -> None:
        self._world = world
        self._random_state = random_state
        number = len(world.culprits)
        key = random_state.choice(list(world.keys))
        other = random_state.choice(
            [k for k, owner in world.keys.items() if owner != world.keys[key]]
        )
        path = f"/{random_state.choice(['plan', 'book', 'look'])}/{number}"
        body = random_state.choice([b"", b"culprit"])
        culprit = Culprit(path, body, world.keys[key])
        self._name = f"culprit {number} {path}"
        world.culprits[culprit] = self._name
        world.endings[self._name] = random_state.choice(list(Ending))
        self._leaving_share = random_state.choice(LEAVING_SHARES)
        self._copy = _Sent(path, body, key)
        self._neighbours = (
            self._copy._replace(key=other),
            self._copy._replace(body=b"neighbour"),
        )

    async def send(self, duration_s: float) -> None:
        """Send copies at random times."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            while loop.time() < end_s:
                vms = [vm for vm in self._world.vms if vm.is_in_rotation]
                n_copies = min(len(vms), self._random_state.randint(1, MAX_COPIES))
                for vm in self._random_state.sample(vms, n_copies):
                    stay_ms = self._draw_stay_ms()
                    group.create_task(self._call(client, vm, self._copy, stay_ms))
                for neighbour in self._neighbours if vms else ():
                    vm = self._random_state.choice(vms)
                    group.create_task(self._call_neighbour(client, vm, neighbour))
                rate_per_s = 1 / MEAN_INTERVAL_S
                await asyncio.sleep(self._random_state.expovariate(rate_per_s))

    async def _call_neighbour(
        self, client: aiohttp.ClientSession, vm: SoakVm, neighbour: _Sent
    ) -> None:
        answer = await self._call(client, vm, neighbour)
        if REFUSED in answer:
            finding = f"{vm.name} took {neighbour} for {self._name}"
            self._world.history.false_refusals.append(finding)

    def _draw_stay_ms(self) -> float:
        """:returns: how long the caller of a copy stays"""
        if self._random_state.random() >= self._leaving_share:
            return 2.0 * DEADLINE_MS
        return self._random_state.uniform(1.0, MAX_STAY_MS)

    async def _call(
        self,
        client: aiohttp.ClientSession,
        vm: SoakVm,
        sent: _Sent,
        stay_ms: float = 2.0 * DEADLINE_MS,
    ) -> bytes:
        """:returns: the body of the answer; empty if there was none"""
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{vm.name}/x{self._world.new_call_number()}",
            "Quetzaldeck-Deadline-Ms": str(DEADLINE_MS),
            "Quetzaldeck-Key": sent.key,
        }
        if sent.path.startswith("/plan/"):
            headers["Quetzaldeck-Token-Counts"] = "3000,100"
        url = f"http://{vm.address}{sent.path}"
        try:
            async with (
                asyncio.timeout(stay_ms / 1_000),
                client.post(url, data=sent.body or None, headers=headers) as response,
            ):
                return await response.read()
        except (aiohttp.ClientError, TimeoutError, OSError):
            return b""


__all__ = ("REFUSED", "BadParts", "Culprits")
