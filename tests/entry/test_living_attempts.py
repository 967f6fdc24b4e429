"""Calls of which several attempts live at a time, and what bounds them."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from typing import TYPE_CHECKING, Any, NoReturn

import aiohttp
import pytest
from tests.soak.own.link import PathMode
from tests.support.platform.fleet import run_fleet
from tests.support.platform.partitions import Partition
from tests.support.platform.replica import event
from tests.support.platform.site import (
    CUSTOMER,
    DESK,
    ENGINE,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.entry.call_run import CallRun
from quetzaldeck.entry.upstream_client import UpstreamClient
from quetzaldeck.gateway.ticket import Ticket

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.partitions import Call
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

    from quetzaldeck.decisions import AttemptEnd

    Handler = Callable[[Arrival, Connection], Awaitable[None]]

CUT = "127.0.1.1"
OTHERS = ("127.0.1.2", "127.0.1.3")
CALL = "first"
N_EVENTS = 8
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))
SILENCE_S = 1.4
"""Longer than any threshold of silence, and than the time until a retry is placed."""

MAX_CLOSE_MS = 500


async def hang(arrival: Arrival, connection: Connection) -> None:
    """Accept a request and never answer it."""
    while not connection.is_left:
        await asyncio.sleep(0.01)


async def stream(
    arrival: Arrival,
    connection: Connection,
    *,
    n_before: int = N_EVENTS,
    pause_s: float = 0.0,
    gap_s: float = 0.0,
) -> None:
    """Send a stream that pauses after some of its events."""
    first = int(arrival.headers.get("last-event-id", "0"))
    await connection.begin_stream(arrival)
    for number in range(first, N_EVENTS):
        if number == n_before:
            await asyncio.sleep(pause_s)
        await asyncio.sleep(gap_s)
        await connection.send_chunk(event(number + 1))
    await connection.end_stream()


async def send_old_event(arrival: Arrival, connection: Connection) -> None:
    """Begin a stream from its start, whatever the caller has, and hang."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await hang(arrival, connection)


async def answer_not_found(arrival: Arrival, connection: Connection) -> None:
    """Answer a request to resume a stream as one that is unknown."""
    await connection.answer(arrival, status=404, body=b"no such stream")


@pytest.mark.parametrize("other", [send_old_event, answer_not_found])
def test_replacement_without_anything_new_does_not_end_a_silent_stream(
    other: Handler,
) -> None:
    """A stream is cut off for an attempt that has nothing for its caller."""
    n_calls = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        if n_calls == 1:
            await stream(arrival, connection, n_before=3, pause_s=SILENCE_S)
        else:
            await other(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, deadline_ms=4_000)
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)

    run_site(test, engines=(behave, behave))


def test_stream_that_breaks_after_its_retries_are_spent_ends_at_once() -> None:
    """An attempt goes on after its replacement failed, breaks, and nothing comes."""
    n_calls = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        if n_calls == 1:
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1))
            await asyncio.sleep(SILENCE_S)
            await connection.send_chunk(event(2))
            await asyncio.sleep(0.02)
        connection.reset()

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await site.call(PLAN_PATH, deadline_ms=4_500)
        assert (n_calls, answer.is_whole) == (2, False)
        assert loop.time() - begun_s < SILENCE_S + MAX_CLOSE_MS / 1_000

    run_site(test, engines=(behave, behave))


def test_stream_that_goes_on_as_its_replacement_fails_is_retried_once_more(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A retry that nothing waits for any more takes the next one's dispatch."""
    has_failed = asyncio.Event()
    has_gone_on = asyncio.Event()
    may_break = asyncio.Event()
    end_attempt = Ticket.end_attempt
    n_calls = 0

    async def end_while_another_goes_on(ticket: Ticket, end: AttemptEnd) -> None:
        await end_attempt(ticket, end)
        if not has_failed.is_set():
            has_failed.set()
            await has_gone_on.wait()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        if n_calls == 1:
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1))
            await has_failed.wait()
            await connection.send_chunk(event(2))
            await may_break.wait()
        elif n_calls > 2:
            await stream(arrival, connection)
            return
        connection.reset()

    async def test(site: Site) -> None:
        routes = build_configuration()["routes"]
        routes[0]["maxAttempts"] = 3
        site.store.put(CONFIGURATION_KEY, build_configuration(2, routes=routes))
        await site.wait(lambda: _version(site) == 2)
        call = asyncio.create_task(site.call(PLAN_PATH, deadline_ms=4_500))
        await has_failed.wait()
        await asyncio.sleep(0.05)
        has_gone_on.set()
        await asyncio.sleep(0.05)
        may_break.set()
        answer = await call
        assert (answer.body, answer.is_whole, n_calls) == (WHOLE, True, 3)

    monkeypatch.setattr(Ticket, "end_attempt", end_while_another_goes_on)
    run_site(test, engines=(behave,) * 3)


def test_replacement_that_was_not_started_does_not_count_as_an_attempt(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A stream goes on as its replacement is dispatched, breaks, and is cut off."""
    is_dispatched = asyncio.Event()
    has_gone_on = asyncio.Event()
    handle_ended = CallRun._handle_ended
    n_calls = 0

    async def handle_late(run: CallRun, task: asyncio.Task[object] | None) -> object:
        if n_calls == 1 and task is not None and task is run._dispatching:
            is_dispatched.set()
            await has_gone_on.wait()
        return await handle_ended(run, task)

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        if n_calls > 1:
            await stream(arrival, connection)
            return
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await is_dispatched.wait()
        await connection.send_chunk(event(2))
        await asyncio.sleep(0.05)
        has_gone_on.set()
        await asyncio.sleep(0.05)
        connection.reset()

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, deadline_ms=4_500)
        assert (answer.body, answer.is_whole, n_calls) == (WHOLE, True, 2)

    monkeypatch.setattr(CallRun, "_handle_ended", handle_late)
    run_site(test, engines=(behave, behave))


@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH])
def test_refused_replacement_does_not_promise_that_the_call_has_not_run(
    path: str,
) -> None:
    """A caller is told that its call has not run, which a hanging replica may run."""

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(path, deadline_ms=4_000))
        replicas = (*site.engines, *site.desks)
        await site.wait(lambda: any(replica.calls for replica in replicas))
        tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
        configuration = build_configuration(2, tenants=[tenant])
        site.store.put(CONFIGURATION_KEY, configuration)
        assert (await call).status in (502, 504)

    run_site(test, engines=(hang, hang), desks=(hang, hang))


@pytest.mark.parametrize("end", ["deadline", "caller_leaves", "drain"])
@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH])
def test_both_attempts_end_with_their_call(path: str, end: str) -> None:
    """A replica keeps a connection, and works on a call that nobody waits for."""
    n_living = n_max = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_living, n_max
        n_living += 1
        n_max = max(n_max, n_living)
        await hang(arrival, connection)
        n_living -= 1

    async def test(site: Site) -> None:
        deadline_ms = 1_400 if end == "deadline" else 4_500
        call = asyncio.create_task(site.call(path, deadline_ms=deadline_ms))
        await site.wait(lambda: n_living == 2)
        if end == "caller_leaves":
            call.cancel()
        elif end == "drain":
            site.entry.session.state.in_flight.abort_all()
        await asyncio.gather(call, return_exceptions=True)
        await site.wait(lambda: n_living == 0, timeout_ms=MAX_CLOSE_MS)
        assert n_max == 2
        scheduler = site.entry.session.state.dispatch._scheduler
        await site.wait(lambda: scheduler.n_running == 0)
        assert scheduler.n_queued == 0
        assert [s.n_in_flight for s in scheduler.upstreams if s.n_in_flight] == []
        assert scheduler.placer.n_double_releases == 0

    run_site(test, engines=(behave, behave), desks=(behave, behave))


@pytest.mark.parametrize("path", [LOOK_PATH, PLAN_PATH])
def test_response_is_closed_if_its_caller_leaves_before_the_verdict(
    path: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A head that comes during a verdict on its silence keeps its connection."""
    has_asked = asyncio.Event()
    heads: list[aiohttp.ClientResponse] = []
    send = UpstreamClient.send

    async def judge(ticket: Ticket, attempt_id: str, silent_ms: float) -> None:
        has_asked.set()
        await asyncio.sleep(3_600.0)

    async def send_and_keep(*arguments: Any) -> aiohttp.ClientResponse:
        heads.append(await send(*arguments))
        return heads[-1]

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await has_asked.wait()
        await connection.begin_stream(arrival)
        await hang(arrival, connection)

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(path, deadline_ms=4_500))
        await site.wait(lambda: bool(heads))
        call.cancel()
        await asyncio.wait((call,))
        state = site.entry.session.state
        await site.wait(lambda: state.dispatch.n_running == 0)
        assert heads[0].closed

    monkeypatch.setattr(Ticket, "judge_silence", judge)
    monkeypatch.setattr(UpstreamClient, "send", send_and_keep)
    run_site(test, engines=(behave,), desks=(behave,))


class Memory:
    """Reservations on engines that refuse what they have no room for."""

    def __init__(self) -> None:
        self._held: dict[str, dict[str, int]] = {}

    async def take(self, arrival: Arrival, connection: Connection) -> None:
        """Carry out an order, or refuse it."""
        order = json.loads(arrival.body)
        held = self._held.setdefault(arrival.headers["host"], {})
        held.pop(order["id"], None)
        if order["op"] == "reserve":
            if sum(held.values()) + order["tokens"] > ENGINE["kvCapacity"]:
                await connection.answer(arrival, status=409)
                return
            held[order["id"]] = order["tokens"]
        await connection.answer(arrival, body=b'{"free":1}')


def test_long_prompt_is_answered_though_the_first_engine_of_its_group_hangs() -> None:
    """An attempt that is left holds the memory that the one replacing it needs."""
    memory = Memory()
    n_calls = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        if arrival.target == "/order":
            await memory.take(arrival, connection)
            return
        n_calls += 1
        await (hang if n_calls == 1 else stream)(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=(500_000, 100), deadline_ms=4_800)
        assert (answer.status, answer.body) == (200, WHOLE)

    run_site(test, engines=(behave,) * 6)


def test_replica_that_was_sent_nothing_has_neither_failed_nor_run_anything() -> None:
    """A replacement is refused before it is sent, and counts as a replica's failure."""

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(LOOK_PATH, deadline_ms=4_000))
        await site.wait(lambda: any(desk.calls for desk in site.desks))
        tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
        configuration = build_configuration(2, tenants=[tenant])
        site.store.put(CONFIGURATION_KEY, configuration)
        await call
        (spared,) = [desk for desk in site.desks if not desk.calls]
        state = site.entry.session.state
        scheduler = state.dispatch._scheduler
        await site.wait(lambda: scheduler.n_running == 0)
        known = scheduler.upstreams.get(spared.replica_id)
        assert known is not None
        assert known.outcomes.at(state.clock.now_ms()).n_failed == 0
        assert state.dispatch.find_due_check_ms(spared.replica_id) is None

    run_site(test, desks=(hang, hang))


def test_replacement_that_waits_for_its_turn_is_given_back() -> None:
    """A silent replica goes on, and a retry that was never sent stays charged."""

    async def behave(arrival: Arrival, connection: Connection) -> None:
        await stream(arrival, connection, n_before=3, pause_s=SILENCE_S)

    async def wait_for_turn(upstream: str, max_wait_ms: float) -> NoReturn:
        await asyncio.sleep(3_600.0)
        raise AssertionError

    async def test(site: Site) -> None:
        state = site.entry.session.state
        call = asyncio.create_task(site.call(PLAN_PATH, deadline_ms=4_000))
        await site.wait(lambda: any(replica.calls for replica in site.engines))
        state.permits.acquire = wait_for_turn  # type: ignore[method-assign]
        budget = state.dispatch._scheduler.retries.budget
        await site.wait(lambda: budget.retried_tokens > 0)
        assert (await call).body == WHOLE
        assert budget.retried_tokens == pytest.approx(0.0, abs=1e-3)
        assert state.dispatch.n_running == 0

    run_site(test, engines=(behave, behave))


def test_prompt_is_not_sent_if_its_key_is_revoked_while_it_reserves_memory() -> None:
    """A replica is sent a request whose key has been revoked in the meantime."""
    memory = Memory()
    may_answer = asyncio.Event()
    has_order = asyncio.Event()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        if arrival.target == "/order":
            has_order.set()
            await may_answer.wait()
            await memory.take(arrival, connection)
            return
        await stream(arrival, connection)

    async def test(site: Site) -> None:
        prompt = (500_000, 100)
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=prompt, deadline_ms=4_800)
        )
        await has_order.wait()
        tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
        configuration = build_configuration(2, tenants=[tenant])
        site.store.put(CONFIGURATION_KEY, configuration)
        await site.wait(lambda: _version(site) == 2)
        may_answer.set()
        assert (await call).status == 401
        assert [a for engine in site.engines for a in engine.calls] == []

    run_site(test, engines=(behave,) * 6)


def _version(site: Site) -> int:
    view = site.entry.session.state.view
    return 0 if view is None else view.version


class CutOff:
    """One VM that loses its paths while a call of its own runs.

    :param handler: handles the attempts of that call, given how many there were before
    """

    def __init__(
        self,
        fleet: EntryFleet,
        handler: Callable[[int, Arrival, Connection], Awaitable[None]],
    ) -> None:
        self._fleet = fleet
        self._handler = handler
        self._path_of_others = ""
        self.partition = Partition(fleet)
        self.n_runs: Counter[str] = Counter()

    async def start(self, path: str, **changes: Any) -> asyncio.Task[Call]:
        """:returns: the call, which has reached a replica"""
        configuration = build_configuration(2)
        for route in configuration["routes"]:
            if path.startswith(route["prefix"]):
                route.update(changes)
        self._path_of_others = path
        self._fleet.store.put(CONFIGURATION_KEY, configuration)
        await self.partition.add_replicas()
        for replica in self.partition.replicas:
            replica.server.handler = self._handle
        vms = self._fleet.vms.values()
        await self._fleet.wait(lambda: all(vm.version == 2 for vm in vms))
        traffic = asyncio.create_task(self._send_others())
        await asyncio.sleep(0.5)
        call = asyncio.create_task(self.send(path))
        call.add_done_callback(lambda _: traffic.cancel())
        await self._fleet.wait(lambda: self.n_runs[CALL] == 1)
        return call

    async def change_route(
        self, *, service: str = "", to_all_but: tuple[str, ...] = ()
    ) -> None:
        """Drop or move the streaming route; other callers use another one.

        :param service: service that it moves to; ``""``: it is dropped
        """
        routes = build_configuration()["routes"]
        if service:
            routes.append({**routes[0], "service": service})
        routes[0].update(name="other", prefix="/other/", maxAttempts=3)
        await self.publish(3, to_all_but=to_all_but, routes=routes)
        self._path_of_others = "/other/1"

    async def publish(
        self, version: int, *, to_all_but: tuple[str, ...] = (), **changes: Any
    ) -> None:
        """Publish a version and wait until the VMs have it.

        :param to_all_but: VMs that do not learn of it
        """
        for host in to_all_but:
            stale = self._fleet.vms[host].state
            stale.apply_belief = lambda: None  # type: ignore[method-assign]
        configuration = build_configuration(version, **changes)
        self._fleet.store.put(CONFIGURATION_KEY, configuration)
        vms = [vm for host, vm in self._fleet.vms.items() if host not in to_all_but]
        await self._fleet.wait(lambda: all(vm.version == version for vm in vms))

    def set_path(self, mode: PathMode) -> None:
        """Cut the VM off, or reconnect it."""
        self.partition.set_paths((CUT,), mode)

    async def send(self, path: str, name: str = CALL) -> Call:
        """:returns: what a caller of the VM receives whose attempts are counted"""
        async with aiohttp.ClientSession() as client:
            return await self.partition.send(
                client, CUT, path, deadline_ms=4_500, X_Watched=name
            )

    async def _send_others(self) -> None:
        """Have the other VMs show that the replicas answer."""
        async with aiohttp.ClientSession() as client:
            while True:
                for host in self._fleet.vms:
                    if host != CUT:
                        await self.partition.send(client, host, self._path_of_others)
                await asyncio.sleep(0.05)

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        if "x-watched" not in arrival.headers:
            if arrival.target.startswith(LOOK_PATH):
                await connection.answer(arrival)
            else:
                await stream(arrival, connection)
            return
        name = arrival.headers["x-watched"]
        self.n_runs[name] += 1
        await self._handler(self.n_runs[name] - 1, arrival, connection)


async def hang_always(index: int, arrival: Arrival, connection: Connection) -> None:
    """Never answer."""
    await hang(arrival, connection)


def test_call_with_one_attempt_is_not_handed_over_while_it_may_run() -> None:
    """A route allows one attempt, and a second VM runs a call that was sent here."""

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, hang_always)
        call = await cut.start(LOOK_PATH, maxAttempts=1)
        cut.set_path(PathMode.SILENT)
        assert (await call).status in (502, 504)
        assert cut.n_runs == {CALL: 1}

    run_fleet(test)


@pytest.mark.parametrize("begun_s", [1.0, 1.2, 1.4])
def test_call_that_was_handed_over_is_not_retried_here_as_well(begun_s: float) -> None:
    """The path comes back while another VM has the call, which runs once too often."""

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, hang_always)
        first = await cut.start(LOOK_PATH, maxAttempts=2)
        cut.set_path(PathMode.ANSWERS_LOST)
        await asyncio.sleep(begun_s)
        call = asyncio.create_task(cut.send(LOOK_PATH, "second"))
        await asyncio.sleep(1.5)
        cut.set_path(PathMode.OPEN)
        await asyncio.gather(first, call)
        assert cut.n_runs == {"first": 2, "second": 2}

    run_fleet(test)


def test_replacement_that_was_cancelled_counts_as_an_attempt() -> None:
    """An attempt goes on, and another VM makes a third one beyond those allowed."""
    has_resumed = asyncio.Event()

    async def behave(index: int, arrival: Arrival, connection: Connection) -> None:
        if index:
            await hang(arrival, connection)
            return
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await asyncio.sleep(SILENCE_S)
        await connection.send_chunk(event(2))
        has_resumed.set()
        await hang(arrival, connection)

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, behave)
        call = await cut.start(PLAN_PATH, maxAttempts=2)
        await has_resumed.wait()
        await asyncio.sleep(0.05)
        assert cut.n_runs == {CALL: 2}
        cut.set_path(PathMode.SILENT)
        await call
        assert cut.n_runs == {CALL: 2}

    run_fleet(test)


@pytest.mark.parametrize("mode", [PathMode.SILENT, PathMode.RESET])
def test_stream_goes_on_at_another_vm_once_its_own_is_cut_off(mode: PathMode) -> None:
    """A VM loses its paths, and its streams wait for replicas that it can't hear."""

    async def behave(index: int, arrival: Arrival, connection: Connection) -> None:
        await stream(arrival, connection, gap_s=0.05)

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, behave)
        call = await cut.start(PLAN_PATH, maxAttempts=3)
        await asyncio.sleep(0.12)
        cut.set_path(mode)
        assert (await call).status == 200

    run_fleet(test)


@pytest.mark.parametrize(
    ("mode", "service"),
    [(PathMode.SILENT, ""), (PathMode.RESET, ""), (PathMode.SILENT, DESK)],
)
def test_stream_goes_on_at_another_vm_though_its_route_is_gone(
    mode: PathMode, service: str
) -> None:
    """The other VM admits the rest of a stream under its newest configuration."""

    async def behave(index: int, arrival: Arrival, connection: Connection) -> None:
        if index:
            await stream(arrival, connection)
            return
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await hang(arrival, connection)

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, behave)
        call = await cut.start(PLAN_PATH, maxAttempts=3)
        await cut.change_route(service=service)
        cut.set_path(mode)
        assert (await call).status == 200

    run_fleet(test)


@pytest.mark.parametrize("stale", [(), (CUT,), OTHERS])
def test_rest_of_a_stream_does_not_run_at_another_vm_if_its_key_is_revoked(
    stale: tuple[str, ...],
) -> None:
    """A stream that goes on at another VM outlives its key, whoever knows of it."""

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, hang_always)
        call = await cut.start(PLAN_PATH, maxAttempts=3)
        cut.set_path(PathMode.SILENT)
        tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
        await cut.publish(3, to_all_but=stale, tenants=[tenant])
        await call
        assert cut.n_runs == {CALL: 1}

    run_fleet(test)


def test_request_that_came_after_its_route_had_gone_does_not_run_at_another_vm() -> (
    None
):
    """A VM that does not know that a route is gone has another one run its requests."""

    async def test(fleet: EntryFleet) -> None:
        cut = CutOff(fleet, hang_always)
        await cut.start(PLAN_PATH, maxAttempts=3)
        await cut.change_route(to_all_but=(CUT,))
        late = asyncio.create_task(cut.send(PLAN_PATH, "late"))
        await fleet.wait(lambda: cut.n_runs["late"] == 1)
        cut.set_path(PathMode.SILENT)
        await late
        assert cut.n_runs["late"] == 1

    run_fleet(test)
