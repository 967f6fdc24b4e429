"""An entry VM in front of replicas whose availability zone is evacuated."""

from __future__ import annotations

import asyncio
import json
from functools import partial
from typing import TYPE_CHECKING

from prometheus_client import generate_latest
from tests.support.platform.replica import event
from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    ENGINES,
    LOOK_PATH,
    PLAN_PATH,
    build_entry,
    run_site,
)

from quetzaldeck.belief import SourceAnswer, ZoneEvacuated
from quetzaldeck.entry.peers.permits import HeldPermit
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Iterable

    from tests.support.platform.replica import Arrival, Connection, StandInReplica
    from tests.support.platform.site import Site

HUGE = (500_000, 100)
LONG = (100_000, 100)
LONG_MS = 5_000
HOLD_S = 1.0


async def hold(arrival: Arrival, connection: Connection) -> None:
    """Answer after a while, with a stream if one was requested."""
    await asyncio.sleep(HOLD_S)
    await answer(arrival, connection)


async def answer(arrival: Arrival, connection: Connection) -> None:
    """Answer as an engine or as a plain service."""
    if arrival.target == "/order":
        await connection.answer(arrival, body=b'{"free":1}')
    elif arrival.target == PLAN_PATH:
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await connection.end_stream()
    else:
        await connection.answer(arrival)


async def refuse_memory(arrival: Arrival, connection: Connection) -> None:
    """Refuse orders for memory, and answer other requests."""
    if arrival.target == "/order" and json.loads(arrival.body)["op"] == "reserve":
        await connection.answer(arrival, status=409, body=b'{"free":0}')
    else:
        await answer(arrival, connection)


async def set_zone(site: Site, replica: StandInReplica, zone: str) -> None:
    """Move a replica to another zone."""
    service = ENGINES if replica in site.engines else DESK
    site.register(replica, service, zone=zone)
    replicas = site.entry.session.state.belief.replicas
    name = replica.replica_id
    await site.wait(lambda: replicas[name].availability_zone == zone)


async def evacuate(site: Site, zone: str, *, is_evacuated: bool = True) -> None:
    """Evacuate or restore a zone, and wait until the VM knows it."""
    key = f"op/evacuate/{zone}"
    if is_evacuated:
        site.store.put(key, {})
    else:
        site.store.delete(key)
    belief = site.entry.session.state.belief
    await site.wait(
        lambda: (zone in belief.evacuated_zones) is is_evacuated, timeout_ms=1_000
    )


def read_diverted(site: Site, kind: str) -> float:
    """:returns: requests diverted from evacuated zones"""
    registry = site.entry.session.state.metrics.registry
    name = "quetzaldeck_diverted_requests_total"
    return registry.get_sample_value(name, {"kind": kind}) or 0.0


def test_zone_gets_nothing_while_it_is_evacuated() -> None:
    """Guards against first attempts in an evacuated zone, and a zone left unused."""

    async def test(site: Site) -> None:
        near, far = site.desks
        await set_zone(site, far, "b")
        await evacuate(site, "b")
        n_before = len(far.calls)
        for _ in range(12):
            assert (await site.call(BOOK_PATH)).status == 200
        assert len(far.calls) == n_before
        await evacuate(site, "b", is_evacuated=False)
        await evacuate(site, "a")
        assert (await site.call(BOOK_PATH)).status == 200
        assert len(far.calls) == n_before + 1
        assert len(near.calls) == 12

    run_site(test, desks=(None, None))


def test_request_in_progress_ends_in_its_zone() -> None:
    """Guards against requests that are cut off by an evacuation, or made twice."""

    async def test(site: Site) -> None:
        near, far = site.desks
        await set_zone(site, far, "b")
        await evacuate(site, "a")
        call = asyncio.create_task(site.call(BOOK_PATH))
        await site.wait(lambda: bool(far.calls))
        await evacuate(site, "a", is_evacuated=False)
        await evacuate(site, "b")
        assert (await call).status == 200
        assert len(far.calls) == 1
        assert not near.calls

    run_site(test, desks=(None, hold))


def test_retry_avoids_the_zone() -> None:
    """Guards against a second attempt in a zone that was evacuated after the first."""

    async def test(site: Site) -> None:
        near, far = site.desks
        failing = asyncio.Event()

        async def fail(arrival: Arrival, connection: Connection) -> None:
            await failing.wait()
            await connection.answer(arrival, status=500)

        near.handler = far.handler = fail
        await set_zone(site, far, "b")
        call = asyncio.create_task(site.call(LOOK_PATH))
        await site.wait(lambda: bool(near.calls or far.calls))
        first = near if near.calls else far
        await evacuate(site, "b" if first is near else "a")
        failing.set()
        assert (await call).status == 500
        assert len(first.calls) == 2
        assert len(near.calls) + len(far.calls) == 2

    run_site(test, desks=(None, None))


def test_stream_is_not_resumed_in_the_zone() -> None:
    """Guards against a stream that is resumed in an evacuated zone."""

    async def test(site: Site) -> None:
        near, far = site.engines
        breaking = asyncio.Event()

        async def break_off(arrival: Arrival, connection: Connection) -> None:
            if "last-event-id" in arrival.headers:
                await connection.begin_stream(arrival)
                await connection.send_chunk(event(2))
                await connection.end_stream()
                return
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1))
            await breaking.wait()
            connection.reset()

        near.handler = far.handler = break_off
        await set_zone(site, far, "b")
        call = asyncio.create_task(site.call(PLAN_PATH))
        await site.wait(lambda: bool(near.calls or far.calls))
        first = near if near.calls else far
        other = far if first is near else near
        await evacuate(site, "b" if other is far else "a")
        breaking.set()
        assert (await call).body == event(1) + event(2)
        assert not other.calls

    run_site(test, engines=(None, None))


def test_helpers_of_the_zone_are_not_named() -> None:
    """Guards against prompt parts for engines of an evacuated zone.

    The helpers are chosen before the evacuation, which is read while the request waits
    to be sent.
    """

    async def test(site: Site, *, is_evacuated: bool) -> None:
        for index, engine in enumerate(site.engines):
            await set_zone(site, engine, f"z{index}")
        state = site.entry.session.state

        async def acquire(upstream: str, max_wait_ms: float) -> HeldPermit:
            zones = {f"z{index}" for index in range(6)} - {f"z{upstream[1:]}"}
            if is_evacuated:
                for zone in zones:
                    site.store.put(f"op/evacuate/{zone}", {})
                await site.wait(lambda: state.belief.evacuated_zones == zones)
            return HeldPermit(upstream, None)

        state.permits.acquire = acquire  # type: ignore[method-assign]
        await site.call(PLAN_PATH, prompt=LONG, deadline_ms=LONG_MS)
        (call,) = [call for engine in site.engines for call in engine.calls]
        assert ("quetzaldeck-helpers" not in call.headers) is is_evacuated

    for is_evacuated in (False, True):
        run_site(partial(test, is_evacuated=is_evacuated), engines=(answer,) * 6)


def test_request_that_waits_for_memory_is_diverted() -> None:
    """Guards against orders for memory in a zone that was evacuated meanwhile.

    Each engine has its own zone. The first one that is asked for memory has none, and
    its zone is evacuated while the request waits for it.
    """

    async def test(site: Site) -> None:
        for index, engine in enumerate(site.engines):
            await set_zone(site, engine, f"z{index}")
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        )
        await site.wait(lambda: any(engine.arrivals for engine in site.engines))
        first = next(engine for engine in site.engines if engine.arrivals)
        for engine in site.engines:
            if engine is not first:
                engine.handler = answer
        await evacuate(site, f"z{site.engines.index(first)}")
        n_before = count_orders(first)
        assert (await call).body == event(1)
        assert not first.calls
        assert count_orders(first) == n_before
        assert read_diverted(site, "reserved") == 1

    run_site(test, engines=(refuse_memory,) * 8)


def count_orders(engine: StandInReplica) -> int:
    """:returns: orders for memory that an engine has received"""
    return sum(
        arrival.target == "/order" and json.loads(arrival.body)["op"] == "reserve"
        for arrival in engine.arrivals
    )


def test_memory_of_a_running_request_is_renewed() -> None:
    """Guards against a running request that loses its memory in an evacuated zone."""

    async def test(site: Site) -> None:
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        )
        await site.wait(lambda: any(engine.calls for engine in site.engines))
        await evacuate(site, "a")
        n_before = sum(len(engine.arrivals) for engine in site.engines)
        await asyncio.sleep(2.0)
        assert sum(len(engine.arrivals) for engine in site.engines) > n_before
        assert (await call).status == 200

    async def stream(arrival: Arrival, connection: Connection) -> None:
        if arrival.target != "/order":
            await connection.begin_stream(arrival)
            for number in range(15):
                await connection.send_chunk(event(number))
                await asyncio.sleep(0.2)
            await connection.end_stream()
            return
        await answer(arrival, connection)

    run_site(test, engines=(stream,) * 6)


def evacuate_unnoticed(site: Site, zone: str) -> None:
    """Have a VM read an evacuation that its decisions do not know yet.

    They learn of it as soon as a check refuses an attempt.
    """
    state = site.entry.session.state
    answer = SourceAnswer(state.belief.revision + 1, (ZoneEvacuated(zone),))
    now_ms = state.clock.uptime_ms()
    state.belief.apply(answer, asked_ms=now_ms, now_ms=now_ms)
    check = state.availability.check

    def check_and_apply(upstreams: Iterable[str]) -> None:
        try:
            check(upstreams)
        except UpstreamError:
            state.evacuations.apply()
            raise

    state.availability.check = check_and_apply  # type: ignore[method-assign]


def test_latest_state_is_checked_right_before_a_request_is_sent() -> None:
    """Guards against a request sent by a decision that is older than the evacuation."""

    async def test(site: Site) -> None:
        near, far = site.desks
        await set_zone(site, near, "a1")
        await set_zone(site, far, "b1")
        state = site.entry.session.state
        acquire = state.permits.acquire
        chosen: list[str] = []

        async def acquire_late(upstream: str, max_wait_ms: float) -> HeldPermit:
            permit = await acquire(upstream, max_wait_ms)
            if not chosen:
                chosen.append(upstream)
                evacuate_unnoticed(site, "a1" if upstream == "d0" else "b1")
            return permit

        state.permits.acquire = acquire_late  # type: ignore[method-assign]
        assert (await site.call(BOOK_PATH)).status == 200
        first, other = (near, far) if chosen == ["d0"] else (far, near)
        assert not first.calls
        assert len(other.calls) == 1
        assert read_diverted(site, "ready") == 1

    run_site(test, desks=(None, None))


def test_latest_state_is_checked_before_memory_is_reserved() -> None:
    """Guards against orders that follow a decision older than the evacuation."""

    async def test(site: Site) -> None:
        for index, engine in enumerate(site.engines):
            await set_zone(site, engine, f"z{index}")
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        )
        await site.wait(lambda: any(engine.arrivals for engine in site.engines))
        first = next(engine for engine in site.engines if engine.arrivals)
        evacuate_unnoticed(site, f"z{site.engines.index(first)}")
        n_before = count_orders(first)
        for engine in site.engines:
            engine.handler = answer
        assert (await call).body == event(1)
        assert count_orders(first) == n_before
        assert not first.calls

    run_site(test, engines=(refuse_memory,) * 8)


def test_request_that_waits_for_its_turn_is_diverted() -> None:
    """Guards against a request that was given its turn before the evacuation.

    All replicas limit their rate, so a request waits for its turn. It has one attempt,
    which the diversion must not use up.
    """

    async def test(site: Site) -> None:
        near, far = site.desks
        await set_zone(site, far, "b")
        for desk in site.desks:
            desk.rate_limit = 2.0
        for _ in range(4):
            await site.call(BOOK_PATH)
        calls = [
            asyncio.create_task(site.call(BOOK_PATH, deadline_ms=4_000))
            for _ in range(4)
        ]
        await asyncio.sleep(0.1)
        await evacuate(site, "b")
        n_before = len(far.calls)
        near.rate_limit = None
        assert {(await call).status for call in calls} == {200}
        assert len(far.calls) == n_before
        assert read_diverted(site, "queued") >= 1

    run_site(test, desks=(None, None))


def test_queued_request_is_refused_at_once_if_all_zones_are_evacuated() -> None:
    """Guards against requests that wait for their deadline in vain."""

    async def test(site: Site) -> None:
        entry = build_entry(DESK, site.desks[0].address, slots=1)
        site.store.put("servers/d0", entry)
        belief = site.entry.session.state.belief
        await site.wait(lambda: belief.replicas["d0"].n_slots == 1)
        running = asyncio.create_task(site.call(BOOK_PATH))
        await site.wait(lambda: bool(site.desks[0].calls))
        queued = asyncio.create_task(site.call(BOOK_PATH, deadline_ms=3_000))
        await asyncio.sleep(0.1)
        await evacuate(site, "a")
        refused = await asyncio.wait_for(queued, 0.1)
        at_once = await site.call(BOOK_PATH)
        for response in (refused, at_once):
            assert response.status == 503
            assert float(response.headers["retry-after"]) == 1
        assert (await running).status == 200
        assert len(site.desks[0].calls) == 1
        await evacuate(site, "a", is_evacuated=False)
        assert (await site.call(BOOK_PATH)).status == 200

    run_site(test, desks=(hold,))


def test_metrics_name_the_zone() -> None:
    async def test(site: Site) -> None:
        await evacuate(site, "b")
        registry = site.entry.session.state.metrics.registry
        text = generate_latest(registry).decode()
        assert "quetzaldeck_evacuated_zones 1.0" in text
        assert 'quetzaldeck_zone_evacuated_since_seconds{zone="b"}' in text
        await evacuate(site, "b", is_evacuated=False)
        assert 'zone="b"' not in generate_latest(registry).decode()

    run_site(test)
