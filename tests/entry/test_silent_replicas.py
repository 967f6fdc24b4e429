"""Sound replicas that fall silent for a second while requests run on them.

Each test is a cell of the table in ``docs/design/replacement.md``: what ends an attempt
that still lives, what stops its replacement, and what the caller has by then.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import pytest
from tests.support.platform.fleet import run_fleet
from tests.support.platform.partitions import Partition
from tests.support.platform.replica import SEAL, event
from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    DESK,
    ENGINES,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    build_entry,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.decisions.health import HealthState
from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.decisions.poison import CrashSighting, Liveness
from quetzaldeck.entry.settings import EntryBounds
from quetzaldeck.gateway.messages import ObserveCheck, ObservePath, ObserveRateLimit

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Answer, Site

    from quetzaldeck.decisions.upstream_state import UpstreamState

    Handler = Callable[[Arrival, Connection], Awaitable[None]]
    Change = Callable[[Site], Awaitable[None]]

N_EVENTS = 8
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))
SILENCE_S = 1.4
"""Longer than any threshold of silence, and than the time until a retry is placed."""

CHANGE_S = 0.4
"""Time from the begin of a silence until something else changes."""


class Silence(NamedTuple):
    """A replica that pauses once.

    :param n_events: events sent before the pause
    :param has_head: whether the head of the response is sent before it
    """

    n_events: int = 0
    has_head: bool = True


NO_SILENCE = Silence(N_EVENTS + 1)
PAUSES = {
    "before_the_head": Silence(0, has_head=False),
    "after_the_head": Silence(0),
    "after_events": Silence(3),
    "before_the_last_event": Silence(N_EVENTS - 1),
    "before_the_end": Silence(N_EVENTS),
}
LOOK_UP_PAUSES = ("before_the_head", "before_the_body", "within_the_body")


class Pausing:
    """A replica that falls silent for a while in its first request, and then goes on.

    ``has_paused`` is set when it falls silent, ``replica_id`` names it then.
    """

    def __init__(self, silence: Silence) -> None:
        self._silence = silence
        self.has_paused = asyncio.Event()
        self.replica_id = ""

    async def __call__(self, arrival: Arrival, connection: Connection) -> None:
        """Send a stream with a pause, or one without after the first request."""
        silence = self._silence
        pause_s = 0.0 if self.has_paused.is_set() else SILENCE_S
        self.replica_id = (
            self.replica_id or arrival.headers["quetzaldeck-expect-instance"]
        )
        if not silence.has_head:
            await self._pause(pause_s)
        await connection.begin_stream(arrival)
        first = int(arrival.headers.get("last-event-id", "0"))
        for number in range(first, N_EVENTS):
            if number == silence.n_events and silence.has_head:
                await self._pause(pause_s)
            await connection.send_chunk(event(number + 1))
        if silence.n_events == N_EVENTS:
            await self._pause(pause_s)
        await connection.end_stream()

    async def _pause(self, pause_s: float) -> None:
        self.has_paused.set()
        await asyncio.sleep(pause_s)


async def hang(arrival: Arrival, connection: Connection) -> None:
    """Accept a request and never answer it."""
    while not connection.is_left:
        await asyncio.sleep(0.01)


async def refuse(arrival: Arrival, connection: Connection) -> None:
    """Refuse a request without running it."""
    await connection.answer_not_executed(arrival)


async def reset(arrival: Arrival, connection: Connection) -> None:
    """Break the connection after a moment."""
    await asyncio.sleep(0.02)
    connection.reset()


async def begin_and_hang(arrival: Arrival, connection: Connection) -> None:
    """Send the head of a stream and nothing else."""
    await connection.begin_stream(arrival)
    await hang(arrival, connection)


async def publish(site: Site, **changes: Any) -> None:
    """Publish the next version of the configuration, and wait until it is in force."""
    site.store.put(CONFIGURATION_KEY, build_configuration(2, **changes))
    await site.wait(lambda: _version(site) == 2)


async def change_plan_route(site: Site, **changes: Any) -> None:
    """Publish another version of the streaming route; ``drop``: without it."""
    routes = build_configuration()["routes"]
    plan = {**routes[0], **changes}
    await publish(site, routes=[plan, *routes[1:]])


async def drop_route(site: Site) -> None:
    await publish(site, routes=build_configuration()["routes"][1:])


async def move_route(site: Site) -> None:
    await change_plan_route(site, service=DESK)


async def lower_attempts(site: Site) -> None:
    await change_plan_route(site, maxAttempts=1)


async def lower_timeout(site: Site) -> None:
    await change_plan_route(site, timeoutMs=700)


async def revoke_key(site: Site) -> None:
    await publish(
        site, tenants=[{"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}]
    )


async def limit_customer(site: Site) -> None:
    tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
    await publish(
        site, tenants=[{**tenant, "apiKeys": ["key-of-gym"], "maxInFlight": 1}]
    )


async def drop_service(site: Site) -> None:
    configuration = build_configuration()
    await publish(
        site,
        routes=configuration["routes"][1:],
        services=configuration["services"][1:],
    )


async def leave_others(site: Site) -> None:
    for replica in site.engines[1:]:
        site.register(replica, "plans", state="draining")


async def leave_all(site: Site) -> None:
    for replica in site.engines:
        site.register(replica, "plans", state="draining")


async def remove_all(site: Site) -> None:
    for replica in site.engines:
        site.store.delete(f"servers/{replica.replica_id}")


async def leave_vm(site: Site) -> None:
    site.draining = asyncio.create_task(site.entry.drain())  # type: ignore[attr-defined]


async def spend_budget(site: Site) -> None:
    retries = site.entry.session.state.dispatch._scheduler.retries
    now_ms = site.entry.session.state.clock.now_ms()
    assert retries._resend_budget is not None
    while retries._resend_budget.try_spend("plans", now_ms):
        pass


async def reload_settings(site: Site) -> None:
    bounds = EntryBounds(leaving_ms=500.0, key_revocation_ms=1_000.0)
    settings = site.entry.session.state.settings
    site.entry.apply_settings(settings._replace(bounds=bounds))


async def reuse_addresses(site: Site) -> None:
    """Have replicas of another service register at the addresses of the engines."""
    for replica in site.engines:
        site.store.delete(f"servers/{replica.replica_id}")
        entry = build_entry(DESK, replica.address)
        site.store.put(f"servers/{replica.replica_id}-next", entry)


async def limit_rates(site: Site) -> None:
    for replica in site.engines:
        update = ObserveRateLimit(replica.replica_id, 0.0)
        site.entry.session.state.dispatch.send(update)


async def suspect_request(site: Site) -> None:
    """Have other VMs report crashes of engines that ran the request."""
    dispatch = site.entry.session.state.dispatch
    (tracked,) = dispatch._scheduler._tracked._tracked.values()
    fingerprint = tracked.request.fingerprint
    dispatch.observe_crashes(
        tuple(CrashSighting(fingerprint, f"x{n}", f"x{n}", 100.0) for n in range(3))
    )


async def fail_health_checks(site: Site) -> None:
    for replica in site.engines:
        replica.is_silent_on_reports = True
        known = site.entry.session.state.belief.replicas[replica.replica_id]
        site.entry.session.state.crash_checks.note_broken(known)


async def check_ended(site: Site) -> None:
    """Have checks conclude that all engines have ended, wrongly."""
    state = site.entry.session.state
    for replica in site.engines:
        now_ms = state.clock.now_ms()
        state.dispatch.send(ObserveCheck(replica.replica_id, Liveness.ENDED, now_ms))


def set_path(site: Site, service: str, verdict: PathVerdict) -> None:
    """Replace what the VM concludes of its path to a service."""
    state = site.entry.session.state
    state.paths._report_verdicts = lambda: None  # type: ignore[method-assign]
    state.dispatch.send(ObservePath(service, verdict))


async def lose_path(site: Site) -> None:
    set_path(site, ENGINES, PathVerdict.PARTITIONED)


async def split_route(site: Site) -> None:
    targets = [{"service": ENGINES, "weight": 0.0}, {"service": DESK, "weight": 1.0}]
    await change_plan_route(site, service=None, split=targets)


async def end_resuming(site: Site) -> None:
    await change_plan_route(site, resumable=False)


async def change_kind(site: Site) -> None:
    await change_plan_route(site, type="non_idempotent", resumable=False, sticky=False)


async def shorten_limits(site: Site) -> None:
    await publish(
        site, limits={"maxBodyBytes": 1, "headerTimeoutMs": 50, "idleTimeoutMs": 50}
    )


def always(wait_ms: float) -> bool:
    return True


async def shed_connections(site: Site) -> None:
    """Have the VM close new connections, and open one."""
    site.entry.shedder.is_surplus = always  # type: ignore[method-assign, union-attr]
    reader, writer = await asyncio.open_connection(*site.entry_address.split(":"))
    with suppress(ConnectionError):
        assert await reader.read() == b""
    writer.close()


STOPS: dict[str, Change] = {
    "route_dropped": drop_route,
    "route_moved": move_route,
    "service_dropped": drop_service,
    "fewer_attempts": lower_attempts,
    "shorter_timeout": lower_timeout,
    "key_revoked": revoke_key,
    "customer_limited": limit_customer,
    "budget_spent": spend_budget,
    "others_leave": leave_others,
    "all_leave": leave_all,
    "all_gone": remove_all,
    "vm_leaves": leave_vm,
    "settings_reloaded": reload_settings,
    "addresses_reused": reuse_addresses,
    "rates_limited": limit_rates,
    "request_suspected": suspect_request,
    "checks_fail": fail_health_checks,
    "checks_show_ends": check_ended,
    "path_lost": lose_path,
    "weights_changed": split_route,
    "not_resumable": end_resuming,
    "kind_changed": change_kind,
    "limits_shortened": shorten_limits,
    "connections_shed": shed_connections,
}
OTHERS: dict[str, Handler] = {
    "hangs": hang,
    "hangs_after_the_head": begin_and_hang,
    "refuses": refuse,
    "breaks": reset,
}


async def call_beside(site: Site, has_begun: asyncio.Event, change: Change) -> Answer:
    """:returns: the answer of a call beside which something changes

    :param has_begun: set when its replica falls silent, or begins its answer
    """
    calls = [asyncio.create_task(site.call(PLAN_PATH, deadline_ms=4_000))]
    await has_begun.wait()
    await asyncio.sleep(CHANGE_S)
    await change(site)
    return await calls[0]


@pytest.mark.parametrize("stop", STOPS)
@pytest.mark.parametrize("pause", PAUSES)
def test_answer_of_a_silent_replica_is_kept_if_nothing_replaces_it(
    pause: str, stop: str
) -> None:
    """A replica pauses, its attempt is left, and a change stops the replacement."""
    pausing = Pausing(PAUSES[pause])

    async def test(site: Site) -> None:
        answer = await call_beside(site, pausing.has_paused, STOPS[stop])
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)
        if stop == "key_revoked":
            assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(pausing, pausing))


@pytest.mark.parametrize("change", STOPS)
@pytest.mark.parametrize("pause", ["before_the_head", "after_events"])
def test_silent_attempt_is_not_ended_by_what_changes_beside_it(
    pause: str, change: str
) -> None:
    """A change ends an attempt, which shows only where no other one can answer."""
    pausing = Pausing(PAUSES[pause])

    async def behave(arrival: Arrival, connection: Connection) -> None:
        handler: Handler = hang if pausing.has_paused.is_set() else pausing
        await handler(arrival, connection)

    async def test(site: Site) -> None:
        answer = await call_beside(site, pausing.has_paused, STOPS[change])
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)

    run_site(test, engines=(behave, behave))


@pytest.mark.parametrize("change", STOPS)
def test_stream_that_is_not_silent_is_neither_ended_nor_repeated(change: str) -> None:
    """A change ends an attempt, or has it run twice, while its replica writes."""
    has_begun = asyncio.Event()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        assert not has_begun.is_set()
        await connection.begin_stream(arrival)
        has_begun.set()
        for number in range(N_EVENTS):
            await asyncio.sleep(CHANGE_S / 3)
            await connection.send_chunk(event(number + 1))
        await connection.end_stream()

    async def test(site: Site) -> None:
        answer = await call_beside(site, has_begun, STOPS[change])
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)
        assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(behave, behave))


@pytest.mark.parametrize("other", OTHERS)
@pytest.mark.parametrize("pause", PAUSES)
def test_answer_of_a_silent_replica_is_kept_if_its_replacement_fails(
    pause: str, other: str
) -> None:
    """A replica pauses, its attempt is left, and the next one yields nothing."""
    pausing = Pausing(PAUSES[pause])
    is_first = True

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal is_first
        handler: Handler = pausing if is_first else OTHERS[other]
        is_first = False
        await handler(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, deadline_ms=4_000)
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)

    run_site(test, engines=(behave, behave))


async def answer_with_pause(
    arrival: Arrival, connection: Connection, pause: str, pause_s: float
) -> None:
    """Answer a look-up with a pause before its head, its body or the end of it."""
    head = connection.build_head(arrival, 200, "Content-Length: 2", SEAL)
    for place, data in zip(LOOK_UP_PAUSES, (head, b"o", b"k"), strict=True):
        if place == pause:
            await asyncio.sleep(pause_s)
        await connection.send(data)


@pytest.mark.parametrize("pause", LOOK_UP_PAUSES)
def test_look_up_is_answered_though_its_replica_paused_and_the_next_one_hangs(
    pause: str,
) -> None:
    """A look-up is left for a replica that hangs, and gets no answer at all."""
    n_calls = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        pause_s = SILENCE_S if n_calls == 1 else 60.0
        await answer_with_pause(arrival, connection, pause, pause_s)

    async def test(site: Site) -> None:
        answer = await site.call(LOOK_PATH)
        assert (answer.status, answer.body, n_calls) == (200, b"ok", 2)

    run_site(test, desks=(behave, behave))


@pytest.mark.parametrize("pause", LOOK_UP_PAUSES)
def test_look_up_whose_replica_hangs_is_answered_by_another_one(pause: str) -> None:
    """A look-up waits for its deadline on a replica that hangs within its answer."""
    n_calls = 0

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        pause_s = 60.0 if n_calls == 1 else 0.0
        await answer_with_pause(arrival, connection, pause, pause_s)

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await site.call(LOOK_PATH)
        assert (answer.status, answer.body, n_calls) == (200, b"ok", 2)
        assert loop.time() - begun_s < SILENCE_S

    run_site(test, desks=(behave, behave))


@pytest.mark.parametrize("n_calls", [12])
def test_streams_end_whole_while_all_replicas_are_silent_for_a_second(
    n_calls: int,
) -> None:
    """All replicas pause at once, and more attempts are left than may be retried."""
    may_answer = asyncio.Event()

    async def pause(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        first = int(arrival.headers.get("last-event-id", "0"))
        for number in range(first, N_EVENTS):
            if number == 2:
                await may_answer.wait()
            await connection.send_chunk(event(number + 1))
        await connection.end_stream()

    async def test(site: Site) -> None:
        calls = [
            asyncio.create_task(site.call(PLAN_PATH, deadline_ms=4_000))
            for _ in range(n_calls)
        ]
        await asyncio.sleep(SILENCE_S)
        may_answer.set()
        answers = await asyncio.gather(*calls)
        received = [(a.status, a.body, a.is_whole) for a in answers]
        assert received == [(200, WHOLE, True)] * n_calls

    run_site(test, engines=(pause,) * 4)


@pytest.mark.parametrize("stop", ["route_dropped", "route_moved", "key_revoked"])
def test_stream_that_breaks_goes_on_under_the_configuration_that_admitted_it(
    stop: str,
) -> None:
    """A replica ends, and the rest of its stream is refused as the route has gone."""
    may_break = asyncio.Event()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        first = int(arrival.headers.get("last-event-id", "0"))
        await connection.begin_stream(arrival)
        for number in range(first, N_EVENTS):
            if number == 3 and not may_break.is_set():
                await may_break.wait()
                connection.reset()
                return
            await connection.send_chunk(event(number + 1))
        await connection.end_stream()

    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: any(engine.calls for engine in site.engines))
        await STOPS[stop](site)
        may_break.set()
        answer = await call
        n_sent = sum(len(engine.calls) for engine in site.engines)
        is_whole = stop != "key_revoked"
        assert (answer.is_whole, answer.body == WHOLE) == (is_whole, is_whole)
        assert n_sent == 1 + is_whole

    run_site(test, engines=(behave, behave))


def _version(site: Site) -> int:
    view = site.entry.session.state.view
    return 0 if view is None else view.version


def find_state(site: Site, name: str) -> UpstreamState:
    """:returns: what the VM knows of a replica"""
    state = site.entry.session.state.dispatch._scheduler.upstreams.get(name)
    assert state is not None
    return state


@pytest.mark.parametrize("pause", PAUSES)
def test_replica_that_goes_on_is_neither_unhealthy_nor_a_suspect(pause: str) -> None:
    """A second's silence counts as a failure, or as a crash that requests caused."""
    pausing = Pausing(PAUSES[pause])

    async def hang_second(arrival: Arrival, connection: Connection) -> None:
        handler: Handler = hang if pausing.has_paused.is_set() else pausing
        await handler(arrival, connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, deadline_ms=4_000)
        assert answer.body == WHOLE
        state = site.entry.session.state
        now_ms = state.clock.now_ms()
        known = find_state(site, pausing.replica_id)
        assert known.health.state(now_ms, None) is HealthState.HEALTHY
        assert known.outcomes.at(now_ms).n_failed < 0.01
        assert known.pace.at(now_ms) == 1.0
        assert known.n_in_flight == 0
        assert state.dispatch.list_presumed() == []
        assert state.dispatch.list_crash_state(99, random_state=Random(0)) == []
        assert state.dispatch.find_due_check_ms(pausing.replica_id) is None

    run_site(test, engines=(hang_second, hang_second))


def test_attempt_that_goes_on_first_ends_its_replacement() -> None:
    """Two replicas work on a stream of which one answer is read."""
    pausing = Pausing(PAUSES["after_events"])
    is_left = asyncio.Event()

    async def hang_second(arrival: Arrival, connection: Connection) -> None:
        if not pausing.has_paused.is_set():
            await pausing(arrival, connection)
            return
        await hang(arrival, connection)
        is_left.set()

    async def test(site: Site) -> None:
        assert (await site.call(PLAN_PATH)).body == WHOLE
        await site.wait(is_left.is_set, timeout_ms=500)
        assert sum(len(e.calls) for e in site.engines) == 2
        scheduler = site.entry.session.state.dispatch._scheduler
        await site.wait(lambda: scheduler.n_running == 0)
        assert scheduler.placer.n_double_releases == 0

    run_site(test, engines=(hang_second, hang_second))


def test_replacement_that_writes_first_ends_the_silent_attempt() -> None:
    """A replica that hangs keeps a connection, and memory, of a call that ended."""
    is_first = True
    is_left = asyncio.Event()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal is_first
        if not is_first:
            await Pausing(NO_SILENCE)(arrival, connection)
            return
        is_first = False
        await begin_and_hang(arrival, connection)
        is_left.set()

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        assert (await site.call(PLAN_PATH)).body == WHOLE
        assert loop.time() - begun_s < SILENCE_S
        await site.wait(is_left.is_set, timeout_ms=500)

    run_site(test, engines=(behave, behave))


def test_silence_of_the_replacement_does_not_end_it() -> None:
    """Both replicas pause, one after the other, and each attempt is given up."""
    n_calls = 0

    async def pause(arrival: Arrival, connection: Connection) -> None:
        nonlocal n_calls
        n_calls += 1
        pause_s = 60.0 if n_calls == 1 else SILENCE_S
        await connection.begin_stream(arrival)
        first = int(arrival.headers.get("last-event-id", "0"))
        for number in range(first, N_EVENTS):
            if number == 4:
                await asyncio.sleep(pause_s)
            await connection.send_chunk(event(number + 1))
        await connection.end_stream()

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, deadline_ms=4_500)
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)

    run_site(test, engines=(pause, pause))


def test_stream_that_cannot_be_resumed_waits_for_its_silent_replica() -> None:
    """A stream that may not be repeated is sent to a second replica, or cut off."""
    pausing = Pausing(PAUSES["after_events"])

    async def test(site: Site) -> None:
        await change_plan_route(site, resumable=False)
        answer = await site.call(PLAN_PATH)
        assert (answer.status, answer.body, answer.is_whole) == (200, WHOLE, True)
        assert sum(len(engine.calls) for engine in site.engines) == 1

    run_site(test, engines=(pausing, pausing))


def test_booking_whose_replica_pauses_runs_once_and_is_answered() -> None:
    """A booking that may not be repeated is sent to a second replica."""

    async def pause(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(SILENCE_S)
        await connection.answer(arrival)

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert (answer.status, answer.body) == (200, b"ok")
        assert sum(len(desk.calls) for desk in site.desks) == 1

    run_site(test, desks=(pause, pause))


@pytest.mark.parametrize("path", [PLAN_PATH, LOOK_PATH])
def test_caller_is_told_when_no_attempt_can_be_sound(path: str) -> None:
    """A caller that has received nothing waits for its deadline on a dead replica."""
    is_first = True

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal is_first
        handler: Handler = hang if is_first else reset
        is_first = False
        await handler(arrival, connection)

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun_s = loop.time()
        answer = await site.call(path, deadline_ms=4_500)
        assert answer.status == 502
        assert loop.time() - begun_s < SILENCE_S + 0.6

    run_site(test, engines=(behave, behave), desks=(behave, behave))


@pytest.mark.parametrize("silence_s", [SILENCE_S, 2.4])
def test_streams_go_on_after_all_upstreams_were_silent(silence_s: float) -> None:
    """The VM takes its service for down, and cuts off the streams that it has begun."""

    async def stream(arrival: Arrival, connection: Connection) -> None:
        first = int(arrival.headers.get("last-event-id", "0"))
        await connection.begin_stream(arrival)
        for number in range(first, N_EVENTS):
            await connection.send_chunk(event(number + 1))
            await asyncio.sleep(0.1)
        await connection.end_stream()

    async def test(fleet: EntryFleet) -> None:
        partition = Partition(fleet)
        await partition.add_replicas()
        engines = [r for r in partition.replicas if r.service == ENGINES]
        for replica in engines:
            replica.server.handler = stream
        async with aiohttp.ClientSession() as client:
            responses = await asyncio.gather(
                *(
                    partition.open(client, host, PLAN_PATH, deadline_ms=4_500)
                    for host in fleet.vms
                    for _ in range(4)
                )
            )
            for replica in engines:
                replica.link.hold_answers()
            await asyncio.sleep(silence_s)
            for replica in engines:
                replica.link.release_answers()
            bodies = [await response.read() for response in responses]
        assert bodies == [WHOLE] * len(responses)

    run_fleet(test)


def test_error_of_a_replica_is_returned_though_another_one_is_silent() -> None:
    """The caller gets an error of the VM in place of the one that a replica sent."""
    is_first = True

    async def behave(arrival: Arrival, connection: Connection) -> None:
        nonlocal is_first
        if is_first:
            is_first = False
            await hang(arrival, connection)
            return
        await connection.answer(arrival, status=500, body=b"broken")

    async def test(site: Site) -> None:
        answer = await site.call(LOOK_PATH)
        assert (answer.status, answer.body) == (500, b"broken")

    run_site(test, desks=(behave, behave))


@pytest.mark.parametrize("path", [PLAN_PATH, LOOK_PATH])
def test_call_is_answered_though_the_path_was_taken_for_lost_meanwhile(
    path: str,
) -> None:
    """A caller is refused as the path seems lost, after it is known to be back."""

    async def answer_late(arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(2 * SILENCE_S)
        if path == PLAN_PATH:
            await Pausing(NO_SILENCE)(arrival, connection)
        else:
            await connection.answer(arrival, body=WHOLE)

    async def test(site: Site) -> None:
        service = ENGINES if path == PLAN_PATH else DESK
        call = asyncio.create_task(site.call(path, deadline_ms=4_500))
        await site.wait(lambda: any(r.calls for r in (*site.engines, *site.desks)))
        set_path(site, service, PathVerdict.PARTITIONED)
        await asyncio.sleep(CHANGE_S + 0.5)
        set_path(site, service, PathVerdict.REACHED)
        answer = await call
        assert (answer.status, answer.body) == (200, WHOLE)

    run_site(test, engines=(answer_late,), desks=(answer_late,))
