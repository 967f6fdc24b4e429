"""A refusal promises that the request has not run, and is taken for no other sending.

Each case is what one replica sends beside, or in place of, its answers to a booking.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import pytest
from tests.support.platform.replica import SEAL, build_head
from tests.support.platform.site import BOOK_PATH, LOOK_PATH, PLAN_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

    Behaviour = Callable[["Desk", Arrival, Connection], Awaitable[None]]

PROMISES = (408, 421, 429, 503)
OWN_STATUSES = (408, 429, 503)
"""Those that a replica may send for a request that it has run; 421 states that it is
another replica, which runs nothing."""

NOT_RUN = "Quetzaldeck-Not-Executed: 1"
BOUNDS = EntryBounds(retry_ratio=100.0)
N_BOOKINGS = 6
HUGE = (500_000, 100)

CASES: dict[str, Behaviour] = {}


class Desk:
    """Replicas that behave as one case says, and what they have run.

    :param behaviour: what a replica sends for a request
    """

    def __init__(self, behaviour: Behaviour) -> None:
        self._behaviour = behaviour
        self.runs: list[str] = []
        self._rejected_on: dict[str, Connection] = {}

    async def handle(self, arrival: Arrival, connection: Connection) -> None:
        """Answer one request."""
        await self._behaviour(self, arrival, connection)

    async def run(self, arrival: Arrival, connection: Connection) -> None:
        """Run a request, and answer after what was sent before has been read."""
        self.runs.append(arrival.call_id)
        await asyncio.sleep(0.02)
        await connection.answer(arrival)

    async def reject_late(
        self, arrival: Arrival, connection: Connection, status: int
    ) -> None:
        """Reject a request, and again where the answer to its next sending is expected.

        The copy comes on the connection of the first sending; the next one is run.
        """
        if arrival.call_id not in self._rejected_on:
            self._rejected_on[arrival.call_id] = connection
            await connection.answer_not_executed(arrival)
            return
        if self._rejected_on[arrival.call_id] is connection:
            await connection.answer_not_executed(arrival, status=status)
        await self.run(arrival, connection)


def case(function: Behaviour) -> Behaviour:
    """Register a case under the name of its function."""
    CASES[function.__name__] = function
    return function


def own_status(status: int) -> Behaviour:
    """:returns: a case in which the replica runs requests and answers with a status"""

    async def behave(desk: Desk, arrival: Arrival, connection: Connection) -> None:
        desk.runs.append(arrival.call_id)
        await connection.answer(arrival, status=status, body=b"busy")

    return behave


CASES.update({f"own_status_{status}": own_status(status) for status in OWN_STATUSES})


@case
async def rejection_comes_again(
    desk: Desk, arrival: Arrival, connection: Connection
) -> None:
    """A copy of the rejection has the id of the request."""
    await desk.reject_late(arrival, connection, 503)


@case
async def misdirection_comes_again(
    desk: Desk, arrival: Arrival, connection: Connection
) -> None:
    """As above, with the status of a replica that is not the one addressed."""
    await desk.reject_late(arrival, connection, 421)


@case
async def rejection_without_an_id(
    desk: Desk, arrival: Arrival, connection: Connection
) -> None:
    """Bytes after a complete answer belong to no request."""
    head = build_head(arrival, 503, "Content-Length: 0", NOT_RUN)
    anonymous = b"\r\n".join(
        line for line in head.split(b"\r\n") if b"Attempt-Id" not in line
    )
    await connection.send(anonymous)
    await desk.run(arrival, connection)


@case
async def success_that_says_not_run(
    desk: Desk, arrival: Arrival, connection: Connection
) -> None:
    """A response that contradicts itself proves nothing."""
    desk.runs.append(arrival.call_id)
    await connection.answer(arrival, head=NOT_RUN)


@pytest.mark.parametrize("name", CASES)
def test_refused_booking_has_not_run_and_none_runs_twice(name: str) -> None:
    """Guards against "not run" that is believed of a sending it is not about."""
    desk = Desk(CASES[name])

    async def test(site: Site) -> None:
        for number in range(N_BOOKINGS):
            answer = await site.call(f"{BOOK_PATH}{number}", deadline_ms=1_000)
            call_id = f"call{number + 1}"
            assert desk.runs.count(call_id) <= 1
            assert call_id not in desk.runs or answer.status not in PROMISES
            assert answer.status != 200 or answer.body == b"ok"
        assert desk.runs

    run_site(test, desks=(desk.handle,), bounds=BOUNDS)


@pytest.mark.parametrize("status", OWN_STATUSES)
def test_look_up_is_repeated_after_a_status_that_promises_nothing(status: int) -> None:
    """Guards against a status of one replica that ends what another one can answer."""
    desk = Desk(own_status(status))

    async def test(site: Site) -> None:
        for number in range(N_BOOKINGS):
            assert (await site.call(f"{LOOK_PATH}{number}")).status == 200

    run_site(test, desks=(desk.handle, None), bounds=BOUNDS)


def test_order_does_not_take_the_copy_of_an_answer_to_a_call() -> None:
    """Guards against memory that counts as reserved though its order was refused."""
    prompts: list[str] = []

    async def behave(arrival: Arrival, connection: Connection) -> None:
        if arrival.target == "/order":
            late = arrival._replace(headers={"quetzaldeck-attempt-id": "call0"})
            await connection.answer(late, body=b'{"free":1}')
            head = build_head(arrival, 409, "Content-Length: 0", SEAL)
            await connection.send(head.replace(b"Quetzaldeck-Attempt-Id: \r\n", b""))
            return
        prompts.append(arrival.call_id)
        await connection.answer_not_executed(arrival)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=5_000)
        assert answer.status == 503
        assert not prompts

    run_site(test, engines=(behave,) * 8)


def test_order_does_not_take_the_copy_of_an_answer_to_an_order() -> None:
    """Guards against memory that counts as reserved by the answer to a release."""
    prompts: list[str] = []
    copies: set[Connection] = set()

    async def behave(arrival: Arrival, connection: Connection) -> None:
        if connection in copies:
            copies.discard(connection)
            await connection.answer(arrival._replace(headers={}), body=b'{"free":1}')
        if arrival.target != "/order":
            prompts.append(arrival.call_id)
            await connection.answer_not_executed(arrival)
            return
        is_release = b"release" in arrival.body
        is_refused = bool(prompts) and not is_release
        await connection.answer(arrival, status=409 if is_refused else 200)
        if is_release:
            copies.add(connection)

    async def test(site: Site) -> None:
        answer = await site.call(PLAN_PATH, prompt=HUGE, deadline_ms=5_000)
        assert answer.status == 503
        assert copies
        assert len(prompts) == 1

    run_site(test, engines=(behave,) * 8)
