"""Requests that crash each replica that runs them, sent again and again by a caller."""

from __future__ import annotations

import asyncio
from collections import Counter, defaultdict
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import pytest
from tests.support.platform.crash_check import CrashRecord, Sending
from tests.support.platform.fleet import run_fleet
from tests.support.platform.replica import Arrival, Connection, StandInReplica, event
from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    DESK,
    ENGINES,
    HOST,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet

OTHER_KEY = "key-of-club"
CULPRIT = "culprit"
RUN_MS = 20.0
RESTART_MS = 300.0
"""Shorter than in practice, so that a test sees many crashes."""

DEADLINE_MS = 800.0
REFUSAL_MS = 200.0
"""A refusal at once: a quarter of the time that the callers have."""


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
    """

    def __init__(
        self,
        fleet: EntryFleet,
        name: str,
        service: str,
        culprits: dict[str, Shape],
        record: CrashRecord,
    ) -> None:
        self.server = StandInReplica(name, self._handle)
        self._fleet = fleet
        self._name = name
        self._service = service
        self._customers = {KEY: CUSTOMER, OTHER_KEY: "club"}
        self._culprits = culprits
        self._record = record
        self._n_starts = 1
        self._restart: asyncio.Task[None] | None = None

    def register(self) -> None:
        """Write the entry of this incarnation."""
        entry = build_entry(self._service, self.server.address)
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
        await asyncio.sleep(RUN_MS / 1_000)
        if self._restart or self.server.replica_id != expected:
            return  # Another request has crashed it meanwhile.
        if culprit:
            self._record.crashes_ms[culprit].append(loop.time() * 1_000)
            self.server.crash()
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
        await asyncio.sleep(RESTART_MS / 1_000)
        before = self.server.replica_id
        self._n_starts += 1
        await self.server.restart(f"{self._name}-{self._n_starts}")
        self._fleet.store.delete(f"servers/{before}")
        self.register()
        self._restart = None


class Sender:
    """Sends requests to the VMs of a fleet in turn and keeps the outcomes."""

    def __init__(self, fleet: EntryFleet) -> None:
        self._fleet = fleet
        self._n_calls = 0
        self.outcomes: defaultdict[str, list[tuple[float, int, float]]] = defaultdict(
            list
        )

    async def send(self, client: aiohttp.ClientSession, name: str, shape: Shape) -> int:
        """:returns: the status; 0: the connection ended before the whole answer"""
        self._n_calls += 1
        hosts = sorted(self._fleet.vms)
        host = hosts[self._n_calls % len(hosts)]
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}/{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": f"{DEADLINE_MS:.0f}",
            "Quetzaldeck-Key": shape.key,
        }
        if shape.service == ENGINES:
            headers["Quetzaldeck-Token-Counts"] = "1000,100"
        loop = asyncio.get_running_loop()
        begin_ms = loop.time() * 1_000
        url = f"http://{self._fleet.vms[host].address}{shape.path}"
        status = 0
        try:
            async with client.post(
                url, data=shape.body or None, headers=headers
            ) as response:
                await response.read()
                status = response.status
        except aiohttp.ClientError:
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
) -> list[CrashingReplica]:
    """:returns: replicas that all VMs of a fleet know"""
    replicas = [
        CrashingReplica(fleet, f"{service}{index}", service, culprits, record)
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


@pytest.mark.parametrize("body", [b"", b"question"], ids=["no_body", "body"])
@pytest.mark.parametrize("path", [PLAN_PATH, LOOK_PATH, BOOK_PATH])
def test_request_that_crashes_replicas_is_refused_by_all_vms(
    path: str, body: bytes
) -> None:
    """A caller's request goes on crashing a service's replicas, one after the other."""

    async def test(fleet: EntryFleet) -> None:
        await publish_customers(fleet)
        culprit = Shape(path, body)
        neighbours = {
            "body": Shape(path, b"another question"),
            "customer": Shape(path, body, OTHER_KEY),
            "path": Shape(path + "/2", body),
        }
        record = CrashRecord()
        await add_replicas(fleet, culprit.service, 3, {CULPRIT: culprit}, record)
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            for _ in range(35):
                for name, shape in ({CULPRIT: culprit} | neighbours).items():
                    group.create_task(sender.send(client, name, shape))
                    await asyncio.sleep(0.05)
        assert list(record.find_excess()) == []
        settled_ms = record.crashes_ms[CULPRIT][2] + 3_000.0
        assert sender.count_after(CULPRIT, settled_ms).keys() == {503}
        assert sender.max_refusal_ms(CULPRIT, settled_ms) < REFUSAL_MS
        for name in neighbours:
            assert sender.count_after(name, settled_ms).keys() == {200}

    run_fleet(test, n_vms=4)


def test_request_whose_answers_are_lost_is_not_refused() -> None:
    """Replicas that live on lose the answers to one request; others are answered."""

    async def test(fleet: EntryFleet) -> None:
        lost = Shape(LOOK_PATH, b"lost")
        loses = True

        async def handle(arrival: Arrival, connection: Connection) -> None:
            await asyncio.sleep(RUN_MS / 1_000)
            if loses and arrival.body == lost.body:
                connection.reset()
            else:
                await connection.answer(arrival)

        for index in range(3):
            replica = StandInReplica(f"r{index}", handle)
            await fleet.enter(replica)
            entry = build_entry(DESK, replica.address)
            fleet.store.put(f"servers/r{index}", entry)
        await fleet.wait(
            lambda: all(len(vm.state.belief.replicas) >= 5 for vm in fleet.vms.values())
        )
        fleet.store.delete("servers/d0")
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client:
            for _ in range(12):
                assert await sender.send(client, "lost", lost) == 502
                assert await sender.send(client, "kept", Shape(LOOK_PATH, b"")) == 200
                await asyncio.sleep(0.1)
            loses = False
            for _ in range(4):
                assert await sender.send(client, "lost", lost) == 200

    run_fleet(test, n_vms=4)


def test_vm_that_just_started_refuses_what_the_others_refuse() -> None:
    """A VM that starts after the crashes lets a request end three replicas more."""

    async def test(fleet: EntryFleet) -> None:
        culprit = Shape(LOOK_PATH, b"")
        record = CrashRecord()
        await add_replicas(fleet, DESK, 3, {CULPRIT: culprit}, record)
        sender = Sender(fleet)
        async with aiohttp.ClientSession() as client:
            while len(record.crashes_ms[CULPRIT]) < 3:
                await sender.send(client, CULPRIT, culprit)
                await asyncio.sleep(0.1)
            await asyncio.sleep(1.0)
            n_sent = len(record.sendings[CULPRIT])
            for host in sorted(fleet.vms):
                await fleet.stop(host)
                await fleet.start(host)
                await fleet.wait(lambda: all(v.version for v in fleet.vms.values()))
                await asyncio.sleep(1.0)
                for _ in fleet.vms:
                    assert await sender.send(client, CULPRIT, culprit) == 503
                other = Shape(LOOK_PATH, b"another question")
                assert await sender.send(client, "other", other) == 200
        assert len(record.sendings[CULPRIT]) == n_sent

    run_fleet(test, n_vms=3)
