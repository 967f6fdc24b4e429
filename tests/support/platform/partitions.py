"""VMs that lose their paths to replicas, and what their callers receive."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.soak.own.link import Link, PathMode
from tests.support.platform.replica import StandInReplica, event
from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    ENGINES,
    HOST,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    build_entry,
)
from yarl import URL

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.replica import Arrival, Connection

PATHS = (PLAN_PATH, LOOK_PATH, BOOK_PATH)
N_EVENTS = 4
EVENT_GAP_S = 0.02
DESK_WORK_S = 0.01
OK_STATUS = 200
STABLE_MS = 3_000.0
"""Time from the begin of a partition until its callers are served as elsewhere."""

MIN_SHARE = 2 / 3
"""Least ratio between the shares of first attempts served at partitioned VMs and at the
others."""

N_FREE_FAILURES = 10
FREE_FAILURE_SHARE = 1 / 50


class Call(NamedTuple):
    """One first attempt of a caller.

    :param host: the VM
    :param status: 0: the connection ended before the whole response
    """

    host: str
    path: str
    sent_ms: float
    status: int
    elapsed_ms: float
    retry_after: str = ""

    @property
    def is_served(self) -> bool:
        """:returns: whether it was answered with success"""
        return self.status == OK_STATUS


class LinkedReplica:
    """A replica behind a link that distinguishes the VMs by their addresses."""

    def __init__(self, name: str, service: str) -> None:
        self.server = StandInReplica(name, self._handle)
        self.service = service
        self.link: Link
        self.is_paused = False

    @property
    def name(self) -> str:
        """:returns: id of the replica"""
        return self.server.replica_id

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        while self.is_paused:
            await asyncio.sleep(0.01)
        if self.service == DESK:
            await asyncio.sleep(DESK_WORK_S)
            await connection.answer(arrival, body=arrival.call_id.encode())
            return
        first = int(arrival.headers.get("last-event-id", "0"))
        await connection.begin_stream(arrival)
        for number in range(first, N_EVENTS):
            await asyncio.sleep(EVENT_GAP_S)
            await connection.send_chunk(event(number + 1))
        await connection.end_stream()


class Partition:
    """Replicas of a fleet behind links, and callers of its VMs."""

    def __init__(self, fleet: EntryFleet) -> None:
        self._fleet = fleet
        self.replicas: list[LinkedReplica] = []
        self.calls: list[Call] = []
        self._n_calls = 0

    async def add_replicas(self, n_engines: int = 4, n_desks: int = 3) -> None:
        """Start replicas and wait until all VMs know them, and no others."""
        for service, count in ((ENGINES, n_engines), (DESK, n_desks)):
            for index in range(count):
                replica = LinkedReplica(f"{service}{index}", service)
                await self._fleet.enter(replica.server)
                port = int(replica.server.address.rpartition(":")[2])
                replica.link = Link(port)
                await self._fleet.enter(replica.link)
                address = replica.link.address.removeprefix("http://")
                entry = build_entry(service, address)
                self._fleet.store.put(f"servers/{replica.name}", entry)
                self.replicas.append(replica)
        for name in ("e0", "d0"):
            self._fleet.store.delete(f"servers/{name}")
        names = {replica.name for replica in self.replicas}
        await self._fleet.wait(
            lambda: all(
                {
                    name
                    for name, replica in vm.state.belief.replicas.items()
                    if not replica.is_leaving
                }
                == names
                for vm in self._fleet.vms.values()
            )
        )

    def set_paths(
        self, hosts: Iterable[str], mode: PathMode, *, service: str = ""
    ) -> None:
        """Change the paths from VMs to all replicas, or to those of a service."""
        for replica in self.replicas:
            if service in ("", replica.service):
                for host in hosts:
                    replica.link.set_path(host, mode)

    async def send_all(
        self,
        duration_s: float,
        *,
        interval_s: float = 0.1,
        paths: tuple[str, ...] = PATHS,
    ) -> None:
        """Send first attempts to all VMs in turn; wait until each has ended."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        n_rounds = 0
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            while loop.time() < end_s:
                path = paths[n_rounds % len(paths)]
                n_rounds += 1
                for host in self._fleet.vms:
                    group.create_task(self.send(client, host, path))
                await asyncio.sleep(interval_s)

    async def open(
        self,
        client: aiohttp.ClientSession,
        host: str,
        path: str,
        *,
        deadline_ms: int = 3_000,
        **fields: str,
    ) -> aiohttp.ClientResponse:
        """:returns: the response of one VM, of which only the head is read"""
        self._n_calls += 1
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}-{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": str(deadline_ms),
            "Quetzaldeck-Key": KEY,
            **{name.replace("_", "-"): value for name, value in fields.items()},
        }
        if path == PLAN_PATH:
            headers["Quetzaldeck-Token-Counts"] = "1000,100"
        url = URL(f"http://{self._fleet.vms[host].address}{path}", encoded=True)
        return await client.post(url, data=b"question", headers=headers)

    async def send(
        self,
        client: aiohttp.ClientSession,
        host: str,
        path: str,
        *,
        deadline_ms: int = 3_000,
        **fields: str,
    ) -> Call:
        """:returns: what the caller of one VM receives"""
        loop = asyncio.get_running_loop()
        sent_ms = loop.time() * 1_000
        status, retry_after = 0, ""
        try:
            async with await self.open(
                client, host, path, deadline_ms=deadline_ms, **fields
            ) as response:
                await response.read()
                status = response.status
                retry_after = response.headers.get("Retry-After", "")
        except aiohttp.ClientError:
            pass
        elapsed_ms = loop.time() * 1_000 - sent_ms
        call = Call(host, path, sent_ms, status, elapsed_ms, retry_after)
        self.calls.append(call)
        return call

    def describe_excess(self, hosts: Iterable[str], begun_ms: float) -> str:
        """Compare the callers of partitioned VMs with those of the others.

        :param hosts: the partitioned VMs
        :param begun_ms: when the partition began
        :returns: in what they were served too badly; ``""``: they were not
        """
        counted = [call for call in self.calls if call.sent_ms >= begun_ms + STABLE_MS]
        cut = [call for call in counted if call.host in tuple(hosts)]
        others = [call for call in counted if call not in cut]
        n_served = sum(call.is_served for call in cut)
        n_others = sum(call.is_served for call in others)
        n_free = N_FREE_FAILURES + FREE_FAILURE_SHARE * len(counted)
        is_worse = n_served * len(others) < MIN_SHARE * n_others * len(cut)
        if is_worse and len(cut) - n_served > n_free:
            return (
                f"{n_served} of {len(cut)} first attempts served at partitioned VMs, "
                f"{n_others} of {len(others)} at the others"
            )
        return ""


__all__ = (
    "FREE_FAILURE_SHARE",
    "MIN_SHARE",
    "N_FREE_FAILURES",
    "PATHS",
    "STABLE_MS",
    "Call",
    "LinkedReplica",
    "Partition",
)
