"""Callers of the soak, and the readiness checks of their load balancer."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.soak.entry.history import (
    NOT_RUN_STATUSES,
    CallRecord,
    RequestKind,
    now_ms,
)
from tests.soak.entry.replicas import LONG_CALL_PREFIX
from tests.support.platform.site import HOST

if TYPE_CHECKING:
    from tests.soak.entry.world import SoakVm, SoakWorld

PATHS = {
    RequestKind.PLAN: "/plan/1",
    RequestKind.BOOK: "/book/1",
    RequestKind.LOOK_UP: "/look/1",
}
DEADLINES_MS = {
    RequestKind.PLAN: 3_000.0,
    RequestKind.BOOK: 800.0,
    RequestKind.LOOK_UP: 800.0,
}
LONG_CALL_DEADLINE_MS = 4_000.0
LONG_CALL_PROBABILITY = 0.5
"""Share of calls that take long while a fault asks for such calls."""

LONG_PROMPT_PROBABILITY = 0.05
DISCONNECT_PROBABILITY = 0.05
"""Share of callers that disconnect before their response is complete."""

MAX_RETURNS = 3
"""How often a refused caller sends its request again, while a fault asks for it."""

READINESS_INTERVAL_S = 0.25
"""Interval and timeout of readiness checks."""

MAX_FAILED_CHECKS = 2
"""Failed checks in a row that take a VM out of rotation."""


class _OwnCall(NamedTuple):
    """What a caller sends, again with the same id if it is refused."""

    call_id: str
    kind: RequestKind
    vm: str
    key: str
    deadline_ms: float
    is_in_rotation: bool


class Callers:
    """Sends requests to ready VMs over connections that stay open until they fail."""

    def __init__(self, world: SoakWorld) -> None:
        self._world = world
        self._stack = AsyncExitStack()
        self._clients: dict[str, aiohttp.ClientSession] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._n_calls = 0

    async def __aenter__(self) -> Callers:
        for vm in self._world.vms:
            client = aiohttp.ClientSession(f"http://{vm.address}")
            self._clients[vm.name] = await self._stack.enter_async_context(client)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await asyncio.gather(*self._tasks)
        await self._stack.aclose()

    async def poll_readiness(self) -> None:
        """Check the readiness of every VM periodically, until cancelled."""
        timeout = aiohttp.ClientTimeout(total=READINESS_INTERVAL_S)
        n_failed_checks = {vm.name: MAX_FAILED_CHECKS for vm in self._world.vms}
        async with aiohttp.ClientSession(timeout=timeout) as client:
            while True:
                for vm in self._world.vms:
                    n_failed_checks[vm.name] += 1
                    if await is_ready(client, vm):
                        n_failed_checks[vm.name] = 0
                    vm.is_in_rotation = n_failed_checks[vm.name] < MAX_FAILED_CHECKS
                await asyncio.sleep(READINESS_INTERVAL_S)

    async def send_calls(self, duration_s: float, rate_per_s: float) -> None:
        """Send calls at random times (a Poisson process).

        The times do not depend on how fast this machine is: calls whose time passed
        while the loop was busy are sent together.
        """
        random_state = self._world.random_state
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        end_s = due_s + duration_s
        while due_s < end_s:
            due_s += random_state.expovariate(rate_per_s)
            await asyncio.sleep(max(0.0, due_s - loop.time()))
            task = asyncio.create_task(self._call())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _call(self) -> None:
        world = self._world
        random_state = world.random_state
        ready = [vm for vm in world.vms if vm.is_in_rotation] or world.vms
        vm = random_state.choice(ready)
        is_in_rotation = vm.is_in_rotation
        kind = random_state.choice(list(RequestKind))
        known = [*world.keys, *world.history.revoked_ms]
        key = random_state.choice(known)
        self._n_calls += 1
        call_id = f"{vm.name}/c{self._n_calls}"
        deadline_ms = DEADLINES_MS[kind]
        # No draw without such a fault: it would change the runs of older seeds.
        if world.n_wanting_long_calls and random_state.random() < LONG_CALL_PROBABILITY:
            call_id = f"{vm.name}/{LONG_CALL_PREFIX}{self._n_calls}"
            deadline_ms = LONG_CALL_DEADLINE_MS
        if world.n_endless:
            deadline_ms = LONG_CALL_DEADLINE_MS
        n_prompt_tokens = (
            500_000 if random_state.random() < LONG_PROMPT_PROBABILITY else 3_000
        )
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": call_id,
            "Quetzaldeck-Deadline-Ms": str(int(deadline_ms)),
            "Quetzaldeck-Key": key,
        }
        if kind is RequestKind.PLAN:
            headers["Quetzaldeck-Token-Counts"] = f"{n_prompt_tokens},100"
        if kind is RequestKind.BOOK:
            world.history.bookings.add(call_id)
        disconnects = random_state.random() < DISCONNECT_PROBABILITY
        call = _OwnCall(call_id, kind, vm.name, key, deadline_ms, is_in_rotation)
        status = await self._send(call, headers, disconnects=disconnects)
        if kind is RequestKind.BOOK and world.n_wanting_returns:
            for _ in range(MAX_RETURNS):
                if status not in NOT_RUN_STATUSES:
                    break
                status = await self._send(call, headers)

    async def _send(
        self, call: _OwnCall, headers: dict[str, str], *, disconnects: bool = False
    ) -> int:
        """:returns: the status of the response; 0: none"""
        timeout_s = 0.05 if disconnects else (call.deadline_ms + 6_000) / 1_000
        sent_ms = now_ms()
        status, body, is_complete = 0, b"", False
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._clients[call.vm].post(
                    PATHS[call.kind], data=call.call_id, headers=headers
                ) as response,
            ):
                status = response.status
                async for chunk in response.content.iter_any():
                    body += chunk
                is_complete = True
        except (aiohttp.ClientError, TimeoutError, OSError):
            pass
        if disconnects and not is_complete:
            return 0
        record = CallRecord(
            call.call_id,
            call.kind,
            call.vm,
            call.key,
            sent_ms,
            now_ms(),
            call.deadline_ms,
            status,
            body,
            is_complete,
            call.is_in_rotation,
        )
        self._world.history.calls.append(record)
        return status


async def is_ready(client: aiohttp.ClientSession, vm: SoakVm) -> bool:
    """:returns: whether a VM reports that it is ready"""
    try:
        async with client.get(f"http://{vm.readiness}/readyz") as response:
            return response.status == 200
    except (aiohttp.ClientError, TimeoutError, OSError):
        return False


__all__ = ("Callers",)
