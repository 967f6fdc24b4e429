"""What is forwarded of requests to replicas and of responses to callers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    KEY,
    LOOK_PATH,
    run_site,
)

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site


def test_method_path_query_and_body_arrive_as_they_were_sent() -> None:
    async def test(site: Site) -> None:
        path = "/look/a%2Fb/./c;x=1?q=%20a+b&q=&z"
        answer = await site.call(path, method="PUT", body=b"\x00\xff body")
        arrival = site.desks[0].calls[0]
        assert (arrival.method, arrival.target) == ("PUT", path)
        assert arrival.body == b"\x00\xff body"
        assert answer.status == 200
        assert answer.body == b"ok"

    run_site(test)


def test_request_without_a_body_is_forwarded_without_one() -> None:
    async def test(site: Site) -> None:
        await site.call(LOOK_PATH, method="GET", body=None)
        assert "content-length" not in site.desks[0].calls[0].headers

    run_site(test)


def test_key_is_removed_and_the_customer_is_set() -> None:
    """Guards against a call billed to another customer, and against a leaked key.

    The replica trusts the customer header of a request. So the VM sets the header
    according to the key, whatever the caller sent, and does not forward the key itself.
    """

    async def test(site: Site) -> None:
        await site.call(BOOK_PATH, Quetzaldeck_Tenant="another", X_Own="kept")
        headers = site.desks[0].calls[0].headers
        assert headers["quetzaldeck-tenant"] == CUSTOMER
        assert "quetzaldeck-key" not in headers
        assert KEY not in str(headers)
        assert headers["x-own"] == "kept"
        assert headers["quetzaldeck-expect-instance"] == "d0"

    run_site(test)


def test_hop_by_hop_headers_are_not_forwarded() -> None:
    async def test(site: Site) -> None:
        await site.call(BOOK_PATH, Connection="X-Hop", X_Hop="1", TE="trailers")
        headers = site.desks[0].calls[0].headers
        assert "x-hop" not in headers
        assert "te" not in headers

    run_site(test)


def test_forwarded_deadline_is_the_remaining_time() -> None:
    async def test(site: Site) -> None:
        await site.call(BOOK_PATH, deadline_ms=2_000)
        remaining_ms = int(site.desks[0].calls[0].headers["quetzaldeck-deadline-ms"])
        assert 1_000 < remaining_ms <= 2_000
        await site.call(BOOK_PATH, deadline_ms=60_000)
        remaining_ms = int(site.desks[0].calls[1].headers["quetzaldeck-deadline-ms"])
        assert remaining_ms <= 5_000, "the route's timeout applies as well"

    run_site(test)


def test_response_is_returned_with_status_body_and_seal_unchanged() -> None:
    async def respond_conflict(arrival: Arrival, connection: Connection) -> None:
        await connection.answer(
            arrival, status=409, body=b"rack taken", head="X-Rack: 7"
        )

    async def test(site: Site) -> None:
        answer = await site.call(BOOK_PATH)
        assert (answer.status, answer.body) == (409, b"rack taken")
        assert answer.headers["quetzaldeck-response-seal"] == "mark"
        assert answer.headers["x-rack"] == "7"

    run_site(test, desks=(respond_conflict,))


def test_connections_to_replicas_are_reused() -> None:
    async def test(site: Site) -> None:
        for _ in range(5):
            await site.call(BOOK_PATH)
        assert site.desks[0].n_connections == 1

    run_site(test)
