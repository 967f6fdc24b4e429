"""Replacements that wait and become impossible while the silent attempt lives.

Each test is a row of the table in ``docs/design/replacement.md``, "Replacements that
wait".
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import pytest
from tests.support.platform.replica import event
from tests.support.platform.site import (
    CUSTOMER,
    DESK,
    ENGINES,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.decisions.paths import PathBounds, PathVerdict
from quetzaldeck.decisions.poison import CrashSighting
from quetzaldeck.gateway.messages import ObservePath

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Answer, Site

    from quetzaldeck.decisions import Scheduler

    Change = Callable[[Site], Awaitable[None]]

DEADLINE_MS = 4_500
SOUND_SILENCE_S = PathBounds().sound_silence_ms / 1_000
WORK_S = SOUND_SILENCE_S + 0.7
"""Longer than the silence after which a call without a replacement is refused."""

STOP_S = 0.3
"""How long a replacement is impossible."""

MAX_LATE_S = 0.6
N_EVENTS = 8
WHOLE = b"".join(event(number) for number in range(1, N_EVENTS + 1))


async def hang(arrival: Arrival, connection: Connection) -> None:
    """Accept a request and never answer it."""
    while not connection.is_left:
        await asyncio.sleep(0.01)


async def answer(arrival: Arrival, connection: Connection) -> None:
    """Answer at once."""
    await connection.answer(arrival, body=b"done")


async def work(arrival: Arrival, connection: Connection) -> None:
    """Answer after a call without a replacement would have been refused."""
    await asyncio.sleep(WORK_S)
    await connection.answer(arrival, body=b"done")


def _scheduler(site: Site) -> Scheduler:
    return site.entry.session.state.dispatch._scheduler


def _set_path(site: Site, verdict: PathVerdict) -> None:
    state = site.entry.session.state
    state.paths._report_verdicts = lambda: None  # type: ignore[method-assign]
    for service in (DESK, ENGINES):
        state.paths.monitor._verdicts[service] = verdict
        state.dispatch.send(ObservePath(service, verdict))


async def lose_path(site: Site) -> None:
    _set_path(site, PathVerdict.PARTITIONED)


async def find_path(site: Site) -> None:
    _set_path(site, PathVerdict.REACHED)


async def limit_rates(site: Site) -> None:
    """Have all replicas take no request before the deadline."""
    now_ms = site.entry.session.state.clock.now_ms()
    for upstream in _scheduler(site).upstreams:
        _scheduler(site).fleet.observe_rate_limit(upstream.spec.name, 1.0)
        upstream.pacing.note_refused(2 * DEADLINE_MS, now_ms)


async def lift_limits(site: Site) -> None:
    for upstream in _scheduler(site).upstreams:
        _scheduler(site).fleet.observe_rate_limit(upstream.spec.name, None)


async def suspect(site: Site) -> None:
    """Have other VMs report crashes of replicas that ran the request."""
    (tracked,) = _scheduler(site)._tracked._tracked.values()
    fingerprint = tracked.request.fingerprint
    site.entry.session.state.dispatch.observe_crashes(
        tuple(CrashSighting(fingerprint, f"x{n}", f"x{n}", 100.0) for n in range(3))
    )


async def clear(site: Site) -> None:
    """Have the request be answered, which clears it."""
    (tracked,) = _scheduler(site)._tracked._tracked.values()
    now_ms = site.entry.session.state.clock.now_ms()
    _scheduler(site).poison.note_answered(tracked.request.fingerprint, now_ms)


async def pass_latest_start(site: Site) -> None:
    """Let the time pass until which a replacement could be answered."""
    scheduler = _scheduler(site)
    (request,) = scheduler._waiting
    now_ms = site.entry.session.state.clock.now_ms()
    scheduler._waiting._latest_starts.add(request.request_id, now_ms)


async def pass_latest_start_for_good(site: Site) -> None:
    """Let that time pass for each further replacement as well."""
    await pass_latest_start(site)
    monkeypatch = pytest.MonkeyPatch()
    monkeypatch.setattr(_scheduler(site).admission, "latest_start_ms", lambda _: 0.0)


async def change_nothing(site: Site) -> None:
    """Leave the site as it is."""


class Stop(NamedTuple):
    """What makes a replacement impossible, and what undoes it."""

    begin: Change
    end: Change


STOPS = {
    "path_lost": Stop(lose_path, find_path),
    "rates_limited": Stop(limit_rates, lift_limits),
    "suspected": Stop(suspect, clear),
    "too_late": Stop(pass_latest_start, change_nothing),
}


async def revoke_key(site: Site) -> None:
    tenant = {"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}
    configuration = build_configuration(2, tenants=[tenant])
    site.store.put(CONFIGURATION_KEY, configuration)


async def limit_customer(site: Site) -> None:
    tenant = {"name": CUSTOMER, "apiKeys": [KEY], "priority": 1, "maxInFlight": 1}
    configuration = build_configuration(2, tenants=[tenant])
    site.store.put(CONFIGURATION_KEY, configuration)


async def drop_route(site: Site) -> None:
    routes = build_configuration()["routes"]
    configuration = build_configuration(2, routes=routes[:-1])
    site.store.put(CONFIGURATION_KEY, configuration)


async def drain(site: Site) -> None:
    site.draining = asyncio.create_task(site.entry.drain())  # type: ignore[attr-defined]


async def remove_all(site: Site) -> None:
    for replica in (*site.desks, *site.engines):
        site.store.delete(f"servers/{replica.replica_id}")


async def leave_all(site: Site) -> None:
    for service, replicas in ((DESK, site.desks), (ENGINES, site.engines)):
        for replica in replicas:
            site.register(replica, service, state="draining")


STAYS: dict[str, Change] = {
    "all_gone": remove_all,
    "all_leave": leave_all,
    "customer_limited": limit_customer,
    "route_dropped": drop_route,
    "vm_drains": drain,
}
"""What leaves a replacement in the queue, though some of it stops the replacement."""


class Withdrawal:
    """A call whose replacement waits for a place, and then becomes impossible.

    :param first: handles its first attempt
    """

    def __init__(
        self,
        site: Site,
        first: Callable[[Arrival, Connection], Awaitable[None]],
        stop: Stop,
        path: str = LOOK_PATH,
    ) -> None:
        self._site = site
        self._stop = stop
        self._path = path
        for replica in (*site.desks, *site.engines):
            replica.handler = self._handle
        self._first = first
        self.later = answer if path == LOOK_PATH else _stream
        self.n_runs = 0
        self.is_withdrawn = asyncio.Event()

    async def run(self) -> Answer:
        """:returns: the answer"""
        site = self._site
        call = asyncio.create_task(site.call(self._path, deadline_ms=DEADLINE_MS))
        await site.wait(lambda: self.n_runs == 1)
        scheduler = _scheduler(site)
        place = scheduler._placer.place
        scheduler._placer.place = lambda *_, **__: None  # type: ignore[method-assign]
        await site.wait(lambda: scheduler.n_queued == 1)
        await self._stop.begin(site)
        await asyncio.sleep(STOP_S)
        self.is_withdrawn.set()
        await self._stop.end(site)
        scheduler._placer.place = place  # type: ignore[method-assign]
        return await call

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        self.n_runs += 1
        if self.n_runs == 1:
            await self._first(arrival, connection)
        else:
            await self.later(arrival, connection)


async def _stream(arrival: Arrival, connection: Connection) -> None:
    first = int(arrival.headers.get("last-event-id", "0"))
    await connection.begin_stream(arrival)
    for number in range(first, N_EVENTS):
        await connection.send_chunk(event(number + 1))
    await connection.end_stream()


@pytest.mark.parametrize("stop", STOPS)
def test_silent_attempt_is_replaced_once_that_is_possible_again(stop: str) -> None:
    """A call on a replica that hangs gets no other one after its retry was refused."""

    async def test(site: Site) -> None:
        withdrawal = Withdrawal(site, hang, STOPS[stop])
        begun_s = asyncio.get_running_loop().time()
        got = await withdrawal.run()
        assert (got.status, got.body, withdrawal.n_runs) == (200, b"done", 2)
        elapsed_s = asyncio.get_running_loop().time() - begun_s
        assert elapsed_s < SOUND_SILENCE_S

    run_site(test, desks=(hang, hang))


@pytest.mark.parametrize("stop", STOPS)
def test_attempt_that_breaks_after_its_replacement_was_withdrawn_is_retried(
    stop: str,
) -> None:
    """The scheduler has forgotten a call whose last attempt breaks."""
    withdrawal: Withdrawal

    async def break_off(arrival: Arrival, connection: Connection) -> None:
        await withdrawal.is_withdrawn.wait()
        await asyncio.sleep(0.02)
        connection.reset()

    async def test(site: Site) -> None:
        nonlocal withdrawal
        withdrawal = Withdrawal(site, break_off, STOPS[stop])
        got = await withdrawal.run()
        assert (got.status, got.body, withdrawal.n_runs) == (200, b"done", 2)

    run_site(test, desks=(hang, hang))


@pytest.mark.parametrize("stop", STOPS)
def test_stream_that_goes_on_after_its_replacement_was_withdrawn_is_retried(
    stop: str,
) -> None:
    """A stream goes on and breaks, and the scheduler has forgotten it meanwhile."""
    withdrawal: Withdrawal

    async def pause_and_break(arrival: Arrival, connection: Connection) -> None:
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await withdrawal.is_withdrawn.wait()
        await connection.send_chunk(event(2))
        await asyncio.sleep(0.3)
        connection.reset()

    async def test(site: Site) -> None:
        nonlocal withdrawal
        withdrawal = Withdrawal(site, pause_and_break, STOPS[stop], PLAN_PATH)
        got = await withdrawal.run()
        assert (got.status, got.body, got.is_whole) == (200, WHOLE, True)
        assert withdrawal.n_runs == 2

    run_site(test, engines=(hang, hang))


@pytest.mark.parametrize("stop", STOPS)
def test_attempt_at_work_is_answered_though_its_replacement_was_withdrawn(
    stop: str,
) -> None:
    """A call is refused though its replica is at work, and nothing else is amiss."""

    async def test(site: Site) -> None:
        withdrawal = Withdrawal(site, work, STOPS[stop])
        withdrawal.later = hang
        got = await withdrawal.run()
        assert (got.status, got.body) == (200, b"done")

    run_site(test, desks=(hang, hang))


@pytest.mark.parametrize("change", STAYS)
def test_attempt_at_work_is_answered_whatever_its_replacement_waits_for(
    change: str,
) -> None:
    """A change ends an attempt whose replacement waits, or the replacement is sent."""

    async def test(site: Site) -> None:
        withdrawal = Withdrawal(site, work, Stop(STAYS[change], change_nothing))
        withdrawal.later = hang
        got = await withdrawal.run()
        assert (got.status, got.body) == (200, b"done")
        if change in ("all_gone", "all_leave"):
            assert withdrawal.n_runs == 1

    run_site(test, desks=(hang, hang))


def test_replacement_is_not_sent_if_its_key_is_revoked_while_it_waits() -> None:
    """A replica is sent a request that waited while its key was revoked."""

    async def test(site: Site) -> None:
        withdrawal = Withdrawal(site, work, Stop(revoke_key, change_nothing))
        await withdrawal.run()
        assert withdrawal.n_runs == 1

    run_site(test, desks=(hang, hang))


@pytest.mark.parametrize(
    "begin",
    [lose_path, limit_rates, suspect, pass_latest_start_for_good, revoke_key],
)
def test_call_on_a_replica_that_hangs_is_refused_in_time_if_nothing_replaces_it(
    begin: Change,
) -> None:
    """A call is held to its deadline by a replacement that cannot be made."""

    async def test(site: Site) -> None:
        withdrawal = Withdrawal(site, hang, Stop(begin, change_nothing))
        begun_s = asyncio.get_running_loop().time()
        got = await withdrawal.run()
        assert got.status in (401, 429, 502, 503, 504)
        elapsed_s = asyncio.get_running_loop().time() - begun_s
        assert elapsed_s < SOUND_SILENCE_S + MAX_LATE_S

    run_site(test, desks=(hang, hang))
