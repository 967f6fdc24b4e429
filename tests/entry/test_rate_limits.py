"""Several entry VMs in front of replicas that name a limit of requests a second."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
from tests.support.platform.fleet import run_fleet
from tests.support.platform.rate_limit_check import Naming, Received, ReplicaRecord
from tests.support.platform.replica import Arrival, Connection, StandInReplica, event
from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    ENGINES,
    HOST,
    KEY,
    PLAN_PATH,
    build_entry,
)

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet

BEGIN_S = 0.5
"""Traffic before any replica names a limit."""

ANSWER_MS = 20.0
BOOKING_DEADLINE_MS = 800.0


class RecordingReplica:
    """A replica that records who sent what, by the VM that the call id names."""

    def __init__(self, name: str) -> None:
        self.server = StandInReplica(name, self._handle)
        self.record = ReplicaRecord()

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        loop = asyncio.get_running_loop()
        vm = arrival.call_id.partition("/")[0]
        self.record.received.append(Received(loop.time() * 1_000, vm))
        await asyncio.sleep(ANSWER_MS / 1_000)
        rate = self.server.rate_limit
        self.record.namings.append(Naming(loop.time() * 1_000, vm, rate))
        if arrival.target == PLAN_PATH:
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1))
            await connection.end_stream()
        else:
            await connection.answer(arrival)


class Traffic:
    """Calls of one route, sent to all VMs of a fleet in turn."""

    def __init__(self, fleet: EntryFleet, path: str) -> None:
        self._fleet = fleet
        self._path = path
        self._n_calls = 0
        self.statuses: Counter[int] = Counter()
        self.max_refusal_ms = 0.0
        self.retry_after_s: list[float] = []

    async def send(self, rate_per_s: float, duration_s: float) -> None:
        """Send calls at a steady rate and wait for all answers."""
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            for _ in range(round(rate_per_s * duration_s)):
                group.create_task(self._call(client))
                await asyncio.sleep(1 / rate_per_s)

    async def _call(self, client: aiohttp.ClientSession) -> None:
        self._n_calls += 1
        hosts = sorted(self._fleet.vms)
        host = hosts[self._n_calls % len(hosts)]
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}/{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": f"{BOOKING_DEADLINE_MS:.0f}",
            "Quetzaldeck-Key": KEY,
        }
        if self._path == PLAN_PATH:
            headers["Quetzaldeck-Token-Counts"] = "1000,100"
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        url = f"http://{self._fleet.vms[host].address}{self._path}"
        async with client.post(url, data=b"question", headers=headers) as response:
            await response.read()
        self.statuses[response.status] += 1
        if response.status == 503:
            refusal_ms = (loop.time() - sent_s) * 1_000
            self.max_refusal_ms = max(self.max_refusal_ms, refusal_ms)
            self.retry_after_s.append(float(response.headers["Retry-After"]))


async def add_replicas(
    fleet: EntryFleet, service: str, names: tuple[str, ...]
) -> list[RecordingReplica]:
    """:returns: replicas that all VMs of a fleet know"""
    replicas = []
    for name in names:
        replica = RecordingReplica(name)
        await fleet.enter(replica.server)
        entry = build_entry(service, replica.server.address)
        fleet.store.put(f"servers/{name}", entry)
        replicas.append(replica)
    addresses = {replica.server.address for replica in replicas}
    await fleet.wait(
        lambda: all(
            addresses <= {r.address for r in vm.state.belief.replicas.values()}
            for vm in fleet.vms.values()
        )
    )
    return replicas


def test_vms_together_send_a_replica_no_more_than_it_names() -> None:
    """A replica in need gets the full traffic of each VM though it names a limit."""

    async def test(fleet: EntryFleet) -> None:
        engines = await add_replicas(fleet, ENGINES, ("e0", "e1", "e2"))
        traffic = Traffic(fleet, PLAN_PATH)
        await traffic.send(30.0, BEGIN_S)
        engines[0].server.rate_limit = 0.8
        engines[1].server.rate_limit = 2.0
        await traffic.send(30.0, 6.5)
        for engine in engines:
            assert list(engine.record.find_excess()) == []
        assert set(traffic.statuses) == {200}
        for engine in engines[:2]:
            assert engine.record.received[-1].at_ms - engine.record.namings[0].at_ms > (
                3_000
            ), "a limited replica still gets what it takes"

    run_fleet(test, n_vms=4)


def test_what_no_limit_allows_is_refused_at_once() -> None:
    """All replicas of a service name limits far below the traffic.

    Calls that cannot be sent within them must not wait until their deadline.
    """

    async def test(fleet: EntryFleet) -> None:
        desks = await add_replicas(fleet, DESK, ("d0", "d1"))
        traffic = Traffic(fleet, BOOK_PATH)
        await traffic.send(40.0, BEGIN_S)
        for desk in desks:
            desk.server.rate_limit = 3.0
        await traffic.send(40.0, 6.0)
        for desk in desks:
            assert list(desk.record.find_excess()) == []
        assert set(traffic.statuses) == {200, 503}
        assert traffic.max_refusal_ms < BOOKING_DEADLINE_MS / 2
        assert min(traffic.retry_after_s) > 0
        n_limited_s = 6.0
        assert traffic.statuses[200] > 40.0 * BEGIN_S + 2 * 3.0 * n_limited_s / 2

    run_fleet(test, n_vms=4)
