"""Keys, routes and the configuration in force, also while the store fails."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING, Any, NoReturn

import pytest
from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


async def publish(site: Site, version: int, **changes: object) -> None:
    """Publish a configuration and wait until it is in force."""
    site.store.put(CONFIGURATION_KEY, build_configuration(version, **changes))
    await site.wait(lambda: version_of(site) == version)


def version_of(site: Site) -> int:
    view = site.entry.session.state.view
    return 0 if view is None else view.version


def test_unknown_route_and_unknown_key_have_distinct_statuses() -> None:
    async def test(site: Site) -> None:
        assert (await site.call("/elsewhere/1")).status == 404
        assert (await site.call(LOOK_PATH, Host="other.example")).status == 404
        assert (await site.call(LOOK_PATH, key=None)).status == 401
        assert (await site.call(LOOK_PATH, key="none")).status == 401
        assert not site.desks[0].calls

    run_site(test)


def test_added_and_revoked_keys_are_in_force() -> None:
    async def test(site: Site) -> None:
        await publish(site, 5, tenants=[{"name": CUSTOMER, "apiKeys": ["newer"]}])
        assert (await site.call(LOOK_PATH)).status == 401
        assert (await site.call(LOOK_PATH, key="newer")).status == 200

    run_site(test)


def test_older_configuration_is_ignored() -> None:
    """Guards against a revoked key that is accepted again.

    The store returns an older configuration, because it was restored from a backup or
    the read is stale. The version in force must never decrease.
    """

    async def test(site: Site) -> None:
        await publish(site, 9, tenants=[{"name": CUSTOMER, "apiKeys": ["newer"]}])
        belief = site.entry.session.state.belief
        revision = belief.revision
        site.store.put(CONFIGURATION_KEY, build_configuration(4))
        await site.wait(lambda: belief.revision > revision)
        assert version_of(site) == 9
        assert (await site.call(LOOK_PATH)).status == 401

    run_site(test)


def test_undecodable_configuration_leaves_the_last_one_in_force() -> None:
    async def test(site: Site) -> None:
        belief = site.entry.session.state.belief
        revision = belief.revision
        site.store.put(CONFIGURATION_KEY, b'{"version": 7, "routes": "none"}')
        await site.wait(lambda: belief.revision > revision)
        assert version_of(site) == 1
        assert (await site.call(LOOK_PATH)).status == 200

    run_site(test)


def test_keys_are_not_accepted_beyond_the_revocation_bound() -> None:
    """Guards against a revoked key that is accepted while the store is unreachable.

    The VM loses its connection to the store and cannot learn of revocations. Once its
    key list is older than the bound it refuses all requests with keys. Public routes
    are served throughout, and the other routes again once the store is back.
    """
    bounds = EntryBounds(key_revocation_ms=1_600)

    async def test(site: Site) -> None:
        routes = build_configuration()["routes"]
        routes[2]["public"] = True
        await publish(site, 2, routes=routes)
        assert (await site.call(BOOK_PATH)).status == 200
        site.store.status = 503
        state = site.entry.session.state
        await site.wait(lambda: not state.has_fresh_keys)
        answer = await site.call(BOOK_PATH)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) == 0.0, "another VM may serve it"
        assert answer.headers["connection"] == "close"
        assert (await site.call(LOOK_PATH, key=None)).status == 200
        assert not state.is_ready
        site.store.status = 200
        await site.wait(lambda: state.is_ready)
        assert (await site.call(BOOK_PATH)).status == 200

    run_site(test, bounds=bounds)


def test_everything_is_read_again_after_the_store_dropped_its_history() -> None:
    async def test(site: Site) -> None:
        site.store.put(CONFIGURATION_KEY, build_configuration(3))
        site.store.forget_history()
        await site.wait(lambda: version_of(site) == 3)

    run_site(test)


def test_leaving_replica_gets_no_new_work() -> None:
    async def test(site: Site) -> None:
        site.register(site.desks[0], "desk", state="draining")
        belief = site.entry.session.state.belief
        await site.wait(lambda: belief.replicas["d0"].is_leaving)
        for _ in range(8):
            assert (await site.call(BOOK_PATH)).status == 200
        assert not site.desks[0].calls

    run_site(test, desks=(None, None))


def test_queued_request_is_checked_again_before_it_is_sent() -> None:
    """Guards against a request whose key was revoked while the request was queued.

    All replicas are full, so the request is queued. Before it is sent, its route and
    key are looked up again in the configuration that is then in force.
    """
    release = asyncio.Event()

    async def hold(arrival: Arrival, connection: Connection) -> None:
        await release.wait()
        await connection.answer(arrival)

    async def test(site: Site) -> None:
        running = [asyncio.create_task(site.call(BOOK_PATH)) for _ in range(8)]
        await site.wait(lambda: len(site.desks[0].calls) == 8)
        waiting = asyncio.create_task(site.call(BOOK_PATH))
        state = site.entry.session.state
        await site.wait(lambda: state.dispatch.n_queued == 1)
        await publish(site, 2, tenants=[{"name": CUSTOMER, "apiKeys": ["newer"]}])
        release.set()
        assert (await waiting).status == 401
        assert {(await call).status for call in running} == {200}
        assert len(site.desks[0].calls) == 8

    run_site(test, desks=(hold,))


NO_ROUTES: dict[str, Any] = {"routes": []}
NO_SERVICES: dict[str, Any] = {"routes": [], "services": []}
OTHER_KEY: dict[str, Any] = {
    "tenants": [{"name": CUSTOMER, "apiKeys": ["another"], "priority": 1}]
}


@pytest.mark.parametrize(
    ("changes", "status"),
    [(NO_ROUTES, 503), (NO_SERVICES, 503), (OTHER_KEY, 401)],
    ids=["route_dropped", "service_dropped", "key_revoked"],
)
@pytest.mark.parametrize("path", [PLAN_PATH, BOOK_PATH, LOOK_PATH])
def test_queued_request_is_refused_once_the_configuration_does_not_allow_it(
    path: str, changes: dict[str, Any], status: int
) -> None:
    """A request that will not be sent is held until a place is free, or to the end."""
    n_slots = 8

    async def hang(arrival: Arrival, connection: Connection) -> None:
        while not connection.is_left:
            await asyncio.sleep(0.01)

    async def test(site: Site) -> None:
        def n_sent() -> int:
            return sum(len(r.calls) for r in (*site.engines, *site.desks))

        running = [
            asyncio.create_task(site.call(path, deadline_ms=4_000))
            for _ in range(n_slots)
        ]
        await site.wait(lambda: n_sent() == n_slots)
        queued = asyncio.create_task(site.call(path, deadline_ms=4_000))
        dispatch = site.entry.session.state.dispatch
        await site.wait(lambda: dispatch.n_queued == 1)
        await publish(site, 2, **changes)
        async with asyncio.timeout(0.3):
            answer = await queued
        assert (answer.status, n_sent()) == (status, n_slots)
        await site.wait(lambda: dispatch.n_queued == 0)
        assert dispatch.n_running == n_slots
        for call in running:
            call.cancel()

    run_site(test, engines=(hang,), desks=(hang,))


@pytest.mark.parametrize(
    ("changes", "status"),
    [(NO_ROUTES, 503), (NO_SERVICES, 503), (OTHER_KEY, 401)],
    ids=["route_dropped", "service_dropped", "key_revoked"],
)
@pytest.mark.parametrize("path", [PLAN_PATH, BOOK_PATH, LOOK_PATH])
def test_request_that_waits_for_its_turn_is_refused_as_soon_as_it_is_not_allowed(
    path: str, changes: dict[str, Any], status: int
) -> None:
    """A request that will not be sent is held until its turn at a limited replica."""
    is_waiting = asyncio.Event()

    async def wait_for_turn(upstream: str, max_wait_ms: float) -> NoReturn:
        is_waiting.set()
        await asyncio.sleep(3_600.0)
        raise AssertionError

    async def test(site: Site) -> None:
        state = site.entry.session.state
        state.permits.acquire = wait_for_turn  # type: ignore[method-assign]
        call = asyncio.create_task(site.call(path, deadline_ms=4_000))
        await is_waiting.wait()
        await publish(site, 2, **changes)
        async with asyncio.timeout(0.3):
            answer = await call
        assert answer.status == status
        assert not any(r.calls for r in (*site.engines, *site.desks))
        await site.wait(lambda: state.dispatch.n_running == 0)

    run_site(test)


@pytest.mark.parametrize(
    ("changes", "status"),
    [(NO_ROUTES, 503), (NO_SERVICES, 503), (OTHER_KEY, 401)],
    ids=["route_dropped", "service_dropped", "key_revoked"],
)
def test_prompt_that_waits_for_memory_is_refused_as_soon_as_it_is_not_allowed(
    changes: dict[str, Any], status: int
) -> None:
    """A prompt that will not be sent holds memory until all of it is reserved."""
    orders: list[str] = []

    async def behave(arrival: Arrival, connection: Connection) -> None:
        if arrival.target != "/order":
            return
        orders.append(json.loads(arrival.body)["op"])
        while orders[-1] == "reserve" and not connection.is_left:
            await asyncio.sleep(0.01)
        await connection.answer(arrival, body=b'{"free":1}')

    async def test(site: Site) -> None:
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=(500_000, 100), deadline_ms=4_800)
        )
        await site.wait(lambda: "reserve" in orders)
        await publish(site, 2, **changes)
        async with asyncio.timeout(0.3):
            answer = await call
        assert answer.status == status
        assert not any(engine.calls for engine in site.engines)
        await site.wait(lambda: "release" in orders)
        await site.wait(lambda: site.entry.session.state.dispatch.n_running == 0)

    run_site(test, engines=(behave,) * 6)


def test_key_is_never_logged_or_returned() -> None:
    async def test(site: Site) -> None:
        answer = await site.call("/elsewhere/1")
        assert KEY not in answer.body.decode()

    run_site(test)


def test_readiness_and_metrics_are_served_on_their_own_addresses() -> None:
    async def test(site: Site) -> None:
        await site.call("/elsewhere/1")
        await site.call(BOOK_PATH)
        async with site.client.get(site.readiness.address + "/readyz") as response:
            assert response.status == 200
        async with site.client.get(site.metrics.address + "/metrics") as response:
            text = await response.text()
        assert 'quetzaldeck_failures_total{ran="no",reason="not_found"} 1.0' in text
        assert 'quetzaldeck_answer_seconds_count{kind="non_idempotent"} 1.0' in text

    run_site(test)


def test_replica_whose_entry_does_not_reappear_gets_no_work_after_the_bound() -> None:
    """Guards against work for a replica that left during an outage of the store.

    After an outage the entries of running replicas may be missing as well, so a missing
    one is tolerated for a while. This time has to end by the clock, not with the
    response to the next query, which the store may hold for seconds.
    """
    bounds = EntryBounds(key_revocation_ms=20_000, leaving_ms=1_500)

    async def test(site: Site) -> None:
        state = site.entry.session.state
        site.store.status = 503
        await site.wait(lambda: state.belief.age_ms(state.clock.uptime_ms()) > 100)
        site.store.delete("servers/d0")
        deleted_ms = state.clock.uptime_ms()
        site.store.forget_history()
        await asyncio.sleep(0.3)
        site.store.status = 200
        await site.wait(lambda: state.belief.n_lapsed == 1)
        await site.wait(lambda: "d0" not in state.belief.replicas)
        assert state.clock.uptime_ms() - deleted_ms < bounds.leaving_ms

    run_site(test, desks=(None, None), bounds=bounds)
