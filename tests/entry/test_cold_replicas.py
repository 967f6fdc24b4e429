"""Entry VMs in front of replicas that are cold, by sources that disagree."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

import aiohttp
from tests.support.platform.fleet import run_fleet
from tests.support.platform.replica import HEALTH_PATH, StandInReplica
from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    ENGINE,
    ENGINES,
    HOST,
    KEY,
    build_configuration,
    build_entry,
)
from tests.support.platform.store import CONFIGURATION_KEY

if TYPE_CHECKING:
    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.replica import Arrival, Connection

COLD_MS = 3_000.0
MAX_IN_ONE_SECOND = 10
"""The cold rate of the service; the settings allow nothing beyond it."""

SETTLING_S = 4.0
"""Time until VMs that have just started issue permits."""

LEARNING_S = 0.3
"""Time until all VMs know what a response to one of them says."""


class Desk:
    """A replica that records when requests arrive."""

    def __init__(self, name: str) -> None:
        self.server = StandInReplica(name, self._handle)
        self.received_s: list[float] = []

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        self.received_s.append(asyncio.get_running_loop().time())
        await connection.answer(arrival)

    def max_in_one_second(self, begin_s: float, end_s: float) -> int:
        """:returns: most requests in any second of a span"""
        times = [at_s for at_s in self.received_s if begin_s <= at_s <= end_s]
        return max((sum(a <= b < a + 1.0 for b in times) for a in times), default=0)


class Setup:
    """A fleet, its replicas and calls to all VMs in turn."""

    def __init__(self, fleet: EntryFleet, desks: list[Desk]) -> None:
        self.fleet = fleet
        self.desks = desks
        self.statuses: Counter[int] = Counter()
        self.retry_after_s: list[float] = []
        self._n_calls = 0

    def register(self, desk: Desk, cold_ms: float = 0.0, born: int = 1) -> None:
        """Write the entry of a replica."""
        entry = build_entry(
            DESK, desk.server.address, coldRemainingMs=cold_ms, born=born
        )
        self.fleet.store.put(f"servers/{desk.server.replica_id}", entry)

    async def wait_until_known(self, name: str, *, is_cold: bool) -> None:
        """Wait until all VMs know whether a replica is cold."""
        await self.fleet.wait(
            lambda: all(
                (vm.state.rate_limits.find_cold(name) is not None) is is_cold
                for vm in self.fleet.vms.values()
            )
        )

    async def send(self, duration_s: float, rate_per_s: float = 60.0) -> None:
        """Send calls at a steady rate and wait for all answers."""
        async with aiohttp.ClientSession() as client, asyncio.TaskGroup() as group:
            for _ in range(round(rate_per_s * duration_s)):
                group.create_task(self._call(client))
                await asyncio.sleep(1 / rate_per_s)

    async def _call(self, client: aiohttp.ClientSession) -> None:
        self._n_calls += 1
        hosts = sorted(self.fleet.vms)
        host = hosts[self._n_calls % len(hosts)]
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}/{self._n_calls}",
            "Quetzaldeck-Deadline-Ms": "800",
            "Quetzaldeck-Key": KEY,
        }
        url = f"http://{self.fleet.vms[host].address}{BOOK_PATH}"
        async with client.post(url, data=b"question", headers=headers) as response:
            await response.read()
        self.statuses[response.status] += 1
        if response.status == 503:
            self.retry_after_s.append(float(response.headers["Retry-After"]))


async def set_up(fleet: EntryFleet, n_desks: int) -> Setup:
    """:returns: a settled fleet whose service protects its cold replicas"""
    cold = {"coldStartS": COLD_MS / 1_000, "coldPerS": MAX_IN_ONE_SECOND}
    service = {"healthPath": HEALTH_PATH, "maxConnections": 99}
    services = [
        {"name": ENGINES, **service, "engine": ENGINE},
        {"name": DESK, **service, **cold},
    ]
    fleet.store.delete("servers/d0")
    setup = Setup(fleet, [Desk(f"w{index}") for index in range(n_desks)])
    for desk in setup.desks:
        await fleet.enter(desk.server)
        setup.register(desk)
    fleet.store.put(CONFIGURATION_KEY, build_configuration(2, services=services))
    await fleet.wait(
        lambda: all(
            vm.version == 2 and len(vm.state.belief.replicas) == n_desks + 1
            for vm in fleet.vms.values()
        )
    )
    await asyncio.sleep(SETTLING_S)
    return setup


def now_s() -> float:
    return asyncio.get_running_loop().time()


def test_replica_that_restarts_under_its_id_is_limited_until_it_is_warm() -> None:
    """A replica that has just started gets the rate of the one before it."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        cold = setup.desks[0]
        setup.register(cold, COLD_MS, born=2)
        await setup.wait_until_known("w0", is_cold=True)
        begin_s = now_s()
        await setup.send(2.5)
        assert 0 < cold.max_in_one_second(begin_s, now_s()) <= MAX_IN_ONE_SECOND
        assert set(setup.statuses) == {200}, "the other replica takes the rest"
        await setup.wait_until_known("w0", is_cold=False)
        begin_s = now_s()
        await setup.send(1.0)
        assert cold.max_in_one_second(begin_s, now_s()) > MAX_IN_ONE_SECOND

    run_fleet(test, n_vms=4)


def test_replica_that_is_cold_again_is_limited_by_all_vms() -> None:
    """Only responses say so; the entry says warm, and is older than they are."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        again = setup.desks[0]
        sending = asyncio.create_task(setup.send(3.0))
        await asyncio.sleep(0.5)
        begin_s = now_s()
        again.server.cold_until_s = begin_s + 2.0
        await asyncio.sleep(LEARNING_S)
        setup.register(again)
        await sending
        most = again.max_in_one_second(begin_s + LEARNING_S, begin_s + 2.0)
        assert 0 < most <= MAX_IN_ONE_SECOND
        assert set(setup.statuses) == {200}

    run_fleet(test, n_vms=4)


def test_calls_are_refused_until_a_service_whose_replicas_are_all_cold_is_warm() -> (
    None
):
    """A whole zone becomes cold at once; calls wait in vain or overload it."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        for desk in setup.desks:
            setup.register(desk, COLD_MS)
        for desk in setup.desks:
            await setup.wait_until_known(desk.server.replica_id, is_cold=True)
        begin_s = now_s()
        await setup.send(2.0)
        for desk in setup.desks:
            assert 0 < desk.max_in_one_second(begin_s, now_s()) <= MAX_IN_ONE_SECOND
        assert set(setup.statuses) == {200, 503}
        assert 0 < min(setup.retry_after_s) <= max(setup.retry_after_s) <= 4

    run_fleet(test, n_vms=4)


def test_vm_that_reaches_no_issuer_sends_nothing_to_a_cold_replica() -> None:
    """A VM cut off from the others sends without knowing what they send."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        for vm in fleet.vms.values():
            vm.state.permits.client.connect(lambda *_: None)
            vm.state.permits._issuer.issue_cold = lambda *_: None  # type: ignore[method-assign]
        setup.register(setup.desks[0], COLD_MS)
        await setup.wait_until_known("w0", is_cold=True)
        begin_s = now_s()
        await setup.send(2.0)
        assert setup.desks[0].max_in_one_second(begin_s, now_s()) == 0
        assert set(setup.statuses) == {200}, "the other replica takes all"

    run_fleet(test, n_vms=3)


def test_vm_that_starts_knows_the_cold_replicas() -> None:
    """A new VM sends its first requests as if all replicas were warm."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        setup.desks[0].server.cold_until_s = now_s() + 5.0
        setup.register(setup.desks[1], 5_000.0)
        await setup.send(0.5)
        vm = await fleet.start("127.0.1.9")
        await fleet.wait(lambda: vm.state.is_ready)
        await fleet.wait(lambda: vm.state.rate_limits.find_cold("w0") is not None)
        assert vm.state.rate_limits.find_cold("w1") is not None

    run_fleet(test)


def test_issuer_that_has_not_heard_limits_as_the_sender_knows() -> None:
    """The issuer grants a permit without a limit to a VM that knows of one."""

    async def test(fleet: EntryFleet) -> None:
        await set_up(fleet, 1)
        for vm in fleet.vms.values():
            vm.state.rate_limits.presume_cold(["w0"])
            await vm.state.permits.acquire("w0", 500.0)
        for vm in fleet.vms.values():
            assert vm.state.permits.issue("gone", 0.0, is_known_cold=True) is None

    run_fleet(test)


def test_replicas_of_a_restored_zone_are_presumed_cold() -> None:
    """A zone returns cold, and its entries do not say so yet."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 1)
        fleet.store.put("op/evacuate/a", {})
        await fleet.wait(
            lambda: all(vm.state.belief.evacuated_zones for vm in fleet.vms.values())
        )
        fleet.store.delete("op/evacuate/a")
        await setup.wait_until_known("w0", is_cold=True)
        await setup.wait_until_known("w0", is_cold=False)

    run_fleet(test)


def test_replica_that_refused_connections_is_presumed_cold() -> None:
    """A probe and what follows it hit a replica that has just started again."""

    async def test(fleet: EntryFleet) -> None:
        setup = await set_up(fleet, 2)
        ended = setup.desks[0]
        ended.server.crash()
        await setup.send(0.5)
        await ended.server.restart("w0")
        begin_s = now_s()
        sending = asyncio.create_task(setup.send(8.0))
        await fleet.wait(
            lambda: any(
                vm.state.rate_limits.find_cold("w0") is not None
                for vm in fleet.vms.values()
            )
        )
        await sending
        probed_s = min(at_s for at_s in ended.received_s if at_s >= begin_s)
        assert ended.max_in_one_second(probed_s, probed_s + 1.0) <= MAX_IN_ONE_SECOND

    run_fleet(test, n_vms=3)
