"""Memory reservations for prompts too large for one engine: renewal and release."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tests.support.platform.replica import event
from tests.support.platform.site import PLAN_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    import pytest
    from tests.support.platform.replica import Arrival, Connection, StandInReplica
    from tests.support.platform.site import Handler, Site

HUGE = (500_000, 100)
N_ENGINES = 6
LONG_MS = 5_000
"""Long enough for the engines to prefill the huge prompt."""


class Memory:
    """Reservations on all engines, according to the orders they received."""

    def __init__(self) -> None:
        self.held: dict[tuple[int, str], int] = {}
        self.n_orders = 0

    async def take(self, arrival: Arrival, connection: Connection) -> None:
        """Carry out an order and confirm it."""
        self.n_orders += 1
        order = json.loads(arrival.body)
        key = (id(connection), order["id"])
        if order["op"] == "reserve":
            self.held[key] = order["tokens"]
        else:
            self.held.pop(key, None)
        await connection.answer(arrival, body=b'{"free":1}')


def build_engine(memory: Memory, hold_s: float = 0.0):  # type: ignore[no-untyped-def]
    """:returns: the behaviour of an engine that streams one event

    :param hold_s: time for which it keeps the stream open after the event
    """

    async def behave(arrival: Arrival, connection: Connection) -> None:
        if arrival.target == "/order":
            await memory.take(arrival, connection)
            return
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await asyncio.sleep(hold_s)
        await connection.end_stream()

    return behave


def count_orders(site: Site, op: str) -> int:
    """:returns: number of orders of a kind that all engines together received"""
    return sum(
        json.loads(arrival.body)["op"] == op
        for engine in site.engines
        for arrival in engine.arrivals
        if arrival.target == "/order"
    )


def has_reserved(engine: StandInReplica) -> bool:
    """:returns: whether an engine received an order"""
    return any(arrival.target == "/order" for arrival in engine.arrivals)


def test_huge_prompt_reserves_memory_on_several_engines_and_releases_it() -> None:
    memory = Memory()

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        assert answer.body == event(1)
        calls = [a for engine in site.engines for a in engine.calls]
        helpers = calls[0].headers["quetzaldeck-helpers"].split(",")
        with_memory = [helper for helper in helpers if "/" in helper]
        n_reserved = count_orders(site, "reserve")
        assert len(with_memory) == n_reserved >= 3
        called = next(e for e in site.engines if e.calls)
        assert helpers[0].startswith(called.address), "its own reservation comes first"
        await site.wait(lambda: count_orders(site, "release") == n_reserved)

    run_site(test, engines=(build_engine(memory),) * N_ENGINES)


def test_memory_is_released_when_the_caller_disconnects() -> None:
    memory = Memory()

    async def test(site: Site) -> None:
        call = asyncio.create_task(
            site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        )
        await site.wait(lambda: any(engine.calls for engine in site.engines))
        call.cancel()
        n_reserved = count_orders(site, "reserve")
        await site.wait(lambda: count_orders(site, "release") == n_reserved)

    run_site(test, engines=(build_engine(memory, hold_s=60),) * N_ENGINES)


def test_memory_is_renewed_while_it_is_used() -> None:
    memory = Memory()
    bounds = EntryBounds(free_ms=600)

    async def test(site: Site) -> None:
        await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        members = [engine for engine in site.engines if has_reserved(engine)]
        assert members
        assert count_orders(site, "reserve") >= 2 * len(members)

    engines = (build_engine(memory, hold_s=0.8),) * N_ENGINES
    run_site(test, engines=engines, bounds=bounds)


def test_all_reservations_are_released_when_one_member_refuses() -> None:
    """Guards against a deadlock of two prompts that hold each other's engines."""
    memory = Memory()

    async def refuse(arrival: Arrival, connection: Connection) -> None:
        await connection.answer(arrival, status=409)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        assert answer.status == 503
        n_reserved = count_orders(site, "reserve")
        assert n_reserved
        await site.wait(lambda: count_orders(site, "release") > 0)
        assert not [a for engine in site.engines for a in engine.calls]

    engines = (build_engine(memory),) * (N_ENGINES - 1)
    run_site(test, engines=(*engines, refuse))


def test_prompt_that_no_group_can_prefill_in_time_is_refused_at_once() -> None:
    """Guards against a prompt whose deadline all engines together cannot meet.

    If admitted, the prompt would reserve memory and be prefilled in vain, and its
    caller would learn of the failure only at the deadline.
    """

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=900)
        assert answer.status == 503
        assert not count_orders(site, "reserve")

    run_site(test, engines=(build_engine(Memory()),) * N_ENGINES)


def test_prompt_that_no_group_can_hold_is_refused_at_once() -> None:
    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        begun = loop.time()
        answer = await site.call(PLAN_PATH, prompt=(900_000, 100))
        assert answer.status == 503
        assert loop.time() - begun < 0.3

    run_site(test, engines=(build_engine(Memory()),) * 2)


def test_lost_renewal_is_logged_and_retried(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Engines reset every second renewal; the caller's response is not affected."""
    events: list[str] = []
    monkeypatch.setattr(
        "quetzaldeck.entry.memory_reservation.log_event",
        lambda event, **fields: events.append(event),
    )
    memory = Memory()
    bounds = EntryBounds(free_ms=600)
    n_broken = 0

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=LONG_MS)
        assert answer.status == 200
        assert answer.is_whole
        assert "memory_not_renewed" in events
        assert events.count("memory_reserved") > N_ENGINES

    def build_flaky() -> Handler:
        behave = build_engine(memory, hold_s=0.8)

        async def flaky(arrival: Arrival, connection: Connection) -> None:
            nonlocal n_broken
            is_renewal = arrival.target == "/order" and memory.n_orders > N_ENGINES
            if is_renewal and json.loads(arrival.body)["op"] == "reserve":
                n_broken += 1
                if n_broken % 2:
                    connection.reset()
                    return
            await behave(arrival, connection)

        return flaky

    run_site(test, engines=(build_flaky(),) * N_ENGINES, bounds=bounds)
