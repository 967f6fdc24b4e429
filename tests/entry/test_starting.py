"""Requests that arrive at a VM that has just started.

If all VMs restart under load, a caller that is refused by a VM without a configuration
retries at once, is refused by the next VM as well and gives up, although both would
serve 0.2 s later. So such requests wait for the first configuration.
"""

from __future__ import annotations

import asyncio
import concurrent.futures
import socket
import time

from tests.support.platform.site import (
    HOST,
    KEY,
    LOOK_PATH,
    Site,
    build_configuration,
    run_site,
)
from tests.support.platform.store import CONFIGURATION_KEY

from quetzaldeck.decisions.admission.startup_wait import (
    MAX_STARTUP_WAIT_MS,
    STARTUP_RETRY_AFTER_MS,
    startup_wait_ms,
)

DEADLINE_MS = 1_500


def test_startup_wait_is_a_share_of_the_deadline() -> None:
    assert startup_wait_ms(900.0) == 300.0
    assert startup_wait_ms(60_000.0) == MAX_STARTUP_WAIT_MS
    assert startup_wait_ms(None) == MAX_STARTUP_WAIT_MS


def test_request_waits_for_the_first_configuration() -> None:
    async def test(site: Site) -> None:
        call = asyncio.create_task(site.call(LOOK_PATH, method="GET", body=None))
        await asyncio.sleep(0.2)
        assert not call.done()
        site.store.put(CONFIGURATION_KEY, build_configuration())
        answer = await call
        assert answer.status == 200
        assert len(site.desks[0].calls) == 1

    run_site(test, publishes=False)


def test_request_that_waited_in_vain_is_refused_before_its_deadline() -> None:
    """No configuration is loaded; the refusal must come in time for another retry."""

    async def test(site: Site) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        answer = await site.call(
            LOOK_PATH, method="GET", body=None, deadline_ms=DEADLINE_MS
        )
        assert answer.status == 503
        assert float(answer.headers["retry-after"]) * 1_000 == STARTUP_RETRY_AFTER_MS
        elapsed_ms = (loop.time() - began_s) * 1_000
        assert startup_wait_ms(DEADLINE_MS) <= elapsed_ms < DEADLINE_MS

    run_site(test, publishes=False)


def block_loop(duration_s: float) -> None:
    """Keep the event loop from running."""
    time.sleep(duration_s)


def send_in_background(
    site: Site, deadline_ms: int
) -> concurrent.futures.Future[bytes]:
    """:returns: the response to a request that a thread sends now"""
    host, _, port = site.entry_address.partition(":")
    connection = socket.create_connection((host, int(port)))
    lines = (
        f"GET {LOOK_PATH} HTTP/1.1",
        f"Host: {HOST}",
        "Quetzaldeck-Attempt-Id: waits",
        f"Quetzaldeck-Deadline-Ms: {deadline_ms}",
        f"Quetzaldeck-Key: {KEY}",
        "Connection: close",
    )
    connection.sendall(("\r\n".join(lines) + "\r\n\r\n").encode())

    def read() -> bytes:
        with connection, connection.makefile("rb") as stream:
            return stream.read()

    executor = concurrent.futures.ThreadPoolExecutor(1)
    return executor.submit(read)


def test_time_that_a_request_waited_in_its_socket_counts() -> None:
    """A VM is late, and runs a request whose caller has stopped waiting for it."""

    async def test(site: Site) -> None:
        late = send_in_background(site, deadline_ms=300)
        in_time = send_in_background(site, deadline_ms=5_000)
        block_loop(0.5)
        answer = await asyncio.wrap_future(late)
        assert answer.startswith(b"HTTP/1.1 503")
        assert (await asyncio.wrap_future(in_time)).startswith(b"HTTP/1.1 200")
        (arrival,) = site.desks[0].calls
        assert int(arrival.headers["quetzaldeck-deadline-ms"]) <= 4_500

    run_site(test, is_virtual=False)
