"""Replicas that some requests end, and callers that send such requests again."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.support.platform.crash_check import Sending
from tests.support.platform.replica import Fate, StandInReplica, event
from tests.support.platform.site import (
    CUSTOMER,
    DESK,
    ENGINES,
    HOST,
    KEY,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY

if TYPE_CHECKING:
    from tests.support.platform.crash_check import CrashRecord
    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.replica import Arrival, Connection

OTHER_KEY = "key-of-club"
CULPRIT = "culprit"
RUN_MS = 20.0
RESTART_MS = 300.0
"""Shorter than in practice, so that a test sees many crashes."""

LAPSE_MS = 1_200.0
"""Time after which the entry of a replica that writes no more is removed."""

DEADLINE_MS = 800.0


class Ending(StrEnum):
    """How the end of a replica shows, and where its successor starts.

    The port refuses connections until the next incarnation starts there, under a new
    id or the same one; or the address resets connections, or is silent, the entry
    lapses, and the next incarnation starts elsewhere.
    """

    REFUSES = "refuses"
    REFUSES_SAME_ID = "refuses_same_id"
    RESETS = "resets"
    SILENT = "silent"


class Shape(NamedTuple):
    """What a request looks like to the VMs and to a replica."""

    path: str
    body: bytes
    key: str = KEY

    @property
    def service(self) -> str:
        """:returns: the service that runs it"""
        return ENGINES if self.path.startswith("/plan/") else DESK


class CrashingReplica:
    """A replica that some requests crash, and that starts again with a new id.

    :param culprits: requests that crash it, by name
    :param ending: how its end shows
    :param run_ms: how long a request runs, or until it ends the replica
    :param lapse_ms: time after which its entry is removed, and the next one starts
    """

    def __init__(
        self,
        fleet: EntryFleet,
        name: str,
        service: str,
        culprits: dict[str, Shape],
        record: CrashRecord,
        *,
        ending: Ending = Ending.REFUSES,
        run_ms: float = RUN_MS,
        lapse_ms: float = LAPSE_MS,
    ) -> None:
        self._lapse_ms = lapse_ms
        self.server = StandInReplica(name, self._handle)
        self._fleet = fleet
        self._name = name
        self._service = service
        self._customers = {KEY: CUSTOMER, OTHER_KEY: "club"}
        self._culprits = culprits
        self._record = record
        self._ending = ending
        self._run_ms = run_ms
        self._n_starts = 1
        self._started_ms = 1
        self._restart: asyncio.Task[None] | None = None

    def register(self) -> None:
        """Write the entry of this incarnation."""
        entry = build_entry(self._service, self.server.address, born=self._started_ms)
        self._fleet.store.put(f"servers/{self.server.replica_id}", entry)

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        expected = arrival.headers["quetzaldeck-expect-instance"]
        if expected != self.server.replica_id:
            await connection.answer_not_executed(arrival, status=421)
            return
        culprit = self._find_culprit(arrival)
        loop = asyncio.get_running_loop()
        if culprit:
            vm = arrival.call_id.partition("/")[0]
            self._record.sendings[culprit].append(Sending(loop.time() * 1_000, vm))
        if arrival.target.startswith("/plan/"):
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1))
        await asyncio.sleep(self._run_ms / 1_000)
        if self._restart or self.server.replica_id != expected:
            return  # Another request has crashed it meanwhile.
        if culprit:
            self._record.crashes_ms[culprit].append(loop.time() * 1_000)
            self.server.crash(_FATES[self._ending])
            self._restart = asyncio.create_task(self._start_again())
            return
        if arrival.target.startswith("/plan/"):
            await connection.end_stream()
        else:
            await connection.answer(arrival)

    def _find_culprit(self, arrival: Arrival) -> str:
        customer = arrival.headers.get("quetzaldeck-tenant", "")
        seen = (arrival.target, arrival.body, customer)
        for name, shape in self._culprits.items():
            if seen == (shape.path, shape.body, self._customers[shape.key]):
                return name
        return ""

    async def _start_again(self) -> None:
        """Start the next incarnation, at this address or another one."""
        before = self.server.replica_id
        self._n_starts += 1
        self._started_ms += 1
        name = f"{self._name}-{self._n_starts}"
        if _FATES[self._ending] is Fate.REFUSES:
            await asyncio.sleep(RESTART_MS / 1_000)
            keeps_id = self._ending is Ending.REFUSES_SAME_ID
            await self.server.restart(before if keeps_id else name)
        else:
            await asyncio.sleep(self._lapse_ms / 1_000)
            self.server = StandInReplica(name, self._handle)
            await self._fleet.enter(self.server)
        if self.server.replica_id != before:
            self._fleet.store.delete(f"servers/{before}")
        self.register()
        self._restart = None


_FATES = {
    Ending.REFUSES: Fate.REFUSES,
    Ending.REFUSES_SAME_ID: Fate.REFUSES,
    Ending.RESETS: Fate.RESETS,
    Ending.SILENT: Fate.SILENT,
}


class Sender:
    """Sends requests to the VMs of a fleet in turn and keeps the outcomes."""

    def __init__(self, fleet: EntryFleet) -> None:
        self._fleet = fleet
        self._n_calls = 0
        self.outcomes: defaultdict[str, list[tuple[float, int, float]]] = defaultdict(
            list
        )

    async def send(
        self,
        client: aiohttp.ClientSession,
        name: str,
        shape: Shape,
        *,
        deadline_ms: float = DEADLINE_MS,
        leaves_after_ms: float | None = None,
    ) -> int:
        """Send a request through the next VM.

        :param leaves_after_ms: when the caller leaves; ``None``: it stays
        :returns: the status; 0: the connection ended before the whole answer
        """
        self._n_calls += 1
        hosts = sorted(self._fleet.vms)
        host = hosts[self._n_calls % len(hosts)]
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}/{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": f"{deadline_ms:.0f}",
            "Quetzaldeck-Key": shape.key,
        }
        if shape.service == ENGINES:
            headers["Quetzaldeck-Token-Counts"] = "1000,100"
        loop = asyncio.get_running_loop()
        begin_ms = loop.time() * 1_000
        url = f"http://{self._fleet.vms[host].address}{shape.path}"
        status = 0
        try:
            async with (
                asyncio.timeout(leaves_after_ms and leaves_after_ms / 1_000),
                client.post(url, data=shape.body or None, headers=headers) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            pass
        elapsed_ms = loop.time() * 1_000 - begin_ms
        self.outcomes[name].append((begin_ms, status, elapsed_ms))
        return status

    def count_after(self, name: str, at_ms: float) -> Counter[int]:
        """:returns: statuses of the requests sent after a point in time"""
        return Counter(
            status for begin, status, _ in self.outcomes[name] if begin > at_ms
        )

    def max_refusal_ms(self, name: str, at_ms: float) -> float:
        """:returns: longest time to a refusal of requests sent after a point in time"""
        return max(
            elapsed
            for begin, status, elapsed in self.outcomes[name]
            if begin > at_ms and status == 503
        )


async def add_replicas(
    fleet: EntryFleet,
    service: str,
    n_replicas: int,
    culprits: dict[str, Shape],
    record: CrashRecord,
    *,
    ending: Ending = Ending.REFUSES,
    run_ms: float = RUN_MS,
    lapse_ms: float = LAPSE_MS,
) -> list[CrashingReplica]:
    """:returns: replicas that all VMs of a fleet know"""
    replicas = [
        CrashingReplica(
            fleet,
            f"{service}{index}",
            service,
            culprits,
            record,
            ending=ending,
            run_ms=run_ms,
            lapse_ms=lapse_ms,
        )
        for index in range(n_replicas)
    ]
    for replica in replicas:
        await fleet.enter(replica.server)
        replica.register()
    addresses = {replica.server.address for replica in replicas}
    await fleet.wait(
        lambda: all(
            addresses <= {r.address for r in vm.state.belief.replicas.values()}
            for vm in fleet.vms.values()
        )
    )
    return replicas


async def publish_customers(fleet: EntryFleet) -> None:
    """Publish a configuration with two customers."""
    tenants = [
        {"name": CUSTOMER, "apiKeys": [KEY], "priority": 1},
        {"name": "club", "apiKeys": [OTHER_KEY], "priority": 1},
    ]
    fleet.store.put(CONFIGURATION_KEY, build_configuration(2, tenants=tenants))
    await fleet.wait(lambda: all(vm.version == 2 for vm in fleet.vms.values()))


__all__ = (
    "CULPRIT",
    "DEADLINE_MS",
    "OTHER_KEY",
    "RUN_MS",
    "CrashingReplica",
    "Ending",
    "Sender",
    "Shape",
    "add_replicas",
    "publish_customers",
)
