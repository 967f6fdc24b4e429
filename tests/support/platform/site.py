"""A platform with one entry VM on loopback, for end-to-end tests."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import uvloop
from tests.ports import choose_port
from tests.support import virtual_time
from tests.support.platform.replica import HEALTH_PATH, StandInReplica
from tests.support.platform.store import CONFIGURATION_KEY, StandInStore
from tests.support.virtual_time import run_virtual
from yarl import URL

from quetzaldeck.entry.service import (
    EntryService,
    MetricsService,
    ReadinessService,
)
from quetzaldeck.entry.settings import EntryBounds, EntryListen, EntrySettings

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Coroutine

    from tests.support.platform.replica import Arrival, Connection

    from quetzaldeck.clock import Clock

    Handler = Callable[[Arrival, Connection], Awaitable[None]]

HOST = "gym.example"
KEY = "key-of-gym"
CUSTOMER = "gym"
ENGINES = "plans"
DESK = "desk"
PLAN_PATH = "/plan/1"
BOOK_PATH = "/book/1"
LOOK_PATH = "/look/1"
ENGINE = {
    "slots": 8,
    "kvCapacity": 232_000,
    "read_per_s": 206_000.0,
    "pairs_per_m": 0.138,
    "step_ms": 1.02,
    "stride": 43,
    "usual": {"prompt": 12_000, "answer": 1_300},
}


def build_configuration(version: int = 1, **changes: Any) -> dict[str, Any]:
    """:returns: a configuration with a streaming, a booking and a look-up route"""
    route = {"host": HOST, "timeoutMs": 5_000, "targetLatencyMs": 300, "priority": 1}
    stream = {"sticky": True, "resumable": True, "targetGapMs": 250}
    return {
        "version": version,
        "routes": [
            {
                **route,
                **stream,
                "name": "plan",
                "prefix": "/plan/",
                "type": "streaming",
                "service": ENGINES,
                "maxAttempts": 2,
            },
            {
                **route,
                "name": "book",
                "prefix": "/book/",
                "type": "non_idempotent",
                "service": DESK,
            },
            {
                **route,
                "name": "look",
                "prefix": "/look/",
                "type": "idempotent",
                "service": DESK,
                "maxAttempts": 2,
            },
        ],
        "services": [
            {
                "name": ENGINES,
                "healthPath": HEALTH_PATH,
                "maxConnections": 99,
                "engine": ENGINE,
            },
            {"name": DESK, "healthPath": HEALTH_PATH, "maxConnections": 99},
        ],
        "limits": {"maxBodyBytes": 100_000},
        "tenants": [{"name": CUSTOMER, "apiKeys": [KEY], "priority": 1}],
        **changes,
    }


def build_entry(service: str, address: str, **changes: Any) -> dict[str, Any]:
    """:returns: the entry that a replica writes to the store"""
    return {
        "service": service,
        "address": address,
        "zone": "a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "coldRemainingMs": 0,
        "sequence": 1,
        **changes,
    }


class Answer(NamedTuple):
    """The response that a caller received.

    :param is_whole: whether the body was received completely
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_whole: bool = True


class Site:
    """One entry VM, the store, and the replicas of each service; a context manager.

    :param publishes: whether a configuration is published; without one the VM is
        started, but does not become ready and is not waited for
    """

    def __init__(
        self,
        *,
        engines: tuple[Handler | None, ...] = (None,),
        desks: tuple[Handler | None, ...] = (None,),
        bounds: EntryBounds | None = None,
        clock: Clock | None = None,
        publishes: bool = True,
    ) -> None:
        self._publishes = publishes
        self._stack = AsyncExitStack()
        self._clock = clock
        self._bounds = bounds or EntryBounds()
        self.store = StandInStore()
        self.engines = [
            StandInReplica(f"e{index}", handler)
            for index, handler in enumerate(engines)
        ]
        self.desks = [
            StandInReplica(f"d{index}", handler) for index, handler in enumerate(desks)
        ]
        self._n_calls = 0

    async def __aenter__(self) -> Site:
        enter = self._stack.enter_async_context
        await enter(self.store)
        for service, replicas in ((ENGINES, self.engines), (DESK, self.desks)):
            for replica in replicas:
                await enter(replica)
                self.register(replica, service)
        if self._publishes:
            self.store.put(CONFIGURATION_KEY, build_configuration())
        port = choose_port()
        listen = EntryListen(
            *(f"127.0.0.1:{p}" for p in (port, choose_port(), choose_port()))
        )
        settings = EntrySettings(
            "entry-a", "a", listen, self.store.address, bounds=self._bounds
        )
        self.entry = EntryService(settings, clock=self._clock)
        self.readiness = ReadinessService(settings, self.entry)
        self.metrics = MetricsService(settings, self.entry)
        for program in (self.entry, self.readiness, self.metrics):
            await program.start()
            self._stack.push_async_callback(program.stop)
        self.entry_address = f"127.0.0.1:{port}"
        self.client = await enter(aiohttp.ClientSession(auto_decompress=False))
        if self._publishes:
            await self.wait(lambda: self.entry.session.state.is_ready)
        return self

    async def __aexit__(self, *exc: object) -> None:
        await self._stack.aclose()

    def register(
        self,
        replica: StandInReplica,
        service: str,
        *,
        state: str = "ready",
        zone: str = "a",
    ) -> None:
        """Write a replica's entry to the store."""
        entry = build_entry(service, replica.address, state=state, zone=zone)
        self.store.put(f"servers/{replica.replica_id}", entry)

    async def call(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes | None = b"question",
        key: str | None = KEY,
        deadline_ms: int = 3_000,
        prompt: tuple[int, int] | None = None,
        **headers: str,
    ) -> Answer:
        """Send one request as a caller does, and read the whole response."""
        self._n_calls += 1
        sent = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"call{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": str(deadline_ms),
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if key is not None:
            sent["Quetzaldeck-Key"] = key
        if path.startswith("/plan/"):
            n_prompt, n_output = prompt or (1_000, 100)
            sent["Quetzaldeck-Token-Counts"] = f"{n_prompt},{n_output}"
        url = URL(f"http://{self.entry_address}{path}", encoded=True)
        async with self.client.request(
            method, url, data=body, headers=sent
        ) as response:
            parts = []
            is_whole = True
            try:
                async for part in response.content.iter_any():
                    parts.append(part)
            except aiohttp.ClientError:
                is_whole = False
            received = {name.lower(): value for name, value in response.headers.items()}
            return Answer(response.status, received, b"".join(parts), is_whole)

    async def wait(
        self, is_met: Callable[[], bool], *, timeout_ms: float = 5_000
    ) -> None:
        """Wait until ``is_met`` returns true.

        :raises TimeoutError: if it does not in time
        """
        async with asyncio.timeout(timeout_ms / 1_000):
            while not is_met():
                await asyncio.sleep(0.01)


def run_site(
    test: Callable[[Site], Coroutine[Any, Any, None]],
    *,
    is_virtual: bool | None = None,
    **arguments: Any,
) -> None:
    """Run a test against its own site.

    :param is_virtual: whether it runs in virtual time; ``None``: unless the whole run
        is in real time, or the test has a clock of its own
    """
    if is_virtual is None:
        is_virtual = virtual_time.IS_DEFAULT and "clock" not in arguments

    async def bounded() -> None:
        async with asyncio.timeout(30), Site(**arguments) as site:
            await test(site)

    run = run_virtual if is_virtual else uvloop.run
    run(bounded())


__all__ = (
    "BOOK_PATH",
    "CUSTOMER",
    "DESK",
    "ENGINES",
    "HOST",
    "KEY",
    "LOOK_PATH",
    "PLAN_PATH",
    "Answer",
    "Site",
    "build_configuration",
    "run_site",
)
