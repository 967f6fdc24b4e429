"""Which requests are retried, and what a refusal states to the caller."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.platform.site import BOOK_PATH, LOOK_PATH, run_site

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


BOUNDS = EntryBounds(retry_ratio=1.0)
"""Large enough that the retry budget lasts for a test of six calls."""


async def close_unanswered(arrival: Arrival, connection: Connection) -> None:
    """Accept a request and close the connection without a response."""
    connection.close()


async def refuse(arrival: Arrival, connection: Connection) -> None:
    """Respond that the request was not run."""
    await connection.answer_not_executed(arrival)


def test_booking_whose_response_is_lost_is_not_retried() -> None:
    """Guards against a booking that runs twice.

    The replica runs the booking and crashes before it responds. A retry on any replica
    would run the booking again, and so would the caller's retry after a status that
    claims that the booking has not run.
    """

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert answer.status == 502
        assert "retry-after" not in answer.headers
        assert sum(len(desk.calls) for desk in site.desks) == 1

    run_site(test, desks=(close_unanswered, close_unanswered, close_unanswered))


def test_lookup_whose_response_is_lost_is_retried_elsewhere() -> None:
    async def test(site: Site) -> None:
        answers = [await site.call(LOOK_PATH) for _ in range(6)]
        assert {answer.status for answer in answers} == {200}

    run_site(test, desks=(close_unanswered, None), bounds=BOUNDS)


def test_booking_that_was_not_run_is_retried_elsewhere() -> None:
    async def test(site: Site) -> None:
        answers = [await site.call(BOOK_PATH) for _ in range(6)]
        assert {answer.status for answer in answers} == {200}

    run_site(test, desks=(refuse, None), bounds=BOUNDS)


def test_refusal_of_a_request_that_has_not_run_has_retry_after() -> None:
    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH, deadline_ms=900)
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) > 0

    run_site(test, desks=(refuse,))


@pytest.mark.parametrize("path", [BOOK_PATH, LOOK_PATH])
def test_missing_replica_is_reported_at_once(path: str) -> None:
    async def test(site: Site) -> None:
        for desk in site.desks:
            site.store.delete(f"servers/{desk.replica_id}")
        belief = site.entry.session.state.belief
        await site.wait(lambda: len(belief.replicas) == 1)
        answer = await site.call(path)
        assert answer.status == 503

    run_site(test)


def test_replica_at_a_reused_address_does_not_run_the_request() -> None:
    """Guards against a request run by another service at the address of its replica.

    The request names the replica that it is for. Another replica responds with status
    421, which proves that it did not run the request.
    """

    async def respond_misdirected(arrival: Arrival, connection: Connection) -> None:
        await connection.answer_not_executed(arrival, status=421)

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert answer.status == 200
        assert len(site.desks[1].calls) == 1

    run_site(test, desks=(respond_misdirected, None))


def test_deadline_of_a_refused_request_is_reported_as_not_run() -> None:
    """Guards against a caller that does not retry a booking that has not run.

    The only replica refuses the booking, which is then queued until its deadline. As
    the booking is known not to have run, the response has to say so.
    """

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH, deadline_ms=60)
        assert answer.status == 503

    run_site(test, desks=(refuse,), bounds=EntryBounds(retry_ratio=100.0))
