"""Log lines on the ends of callers' connections; see docs/design/connection-ends.md."""

from __future__ import annotations

import asyncio
import io
import logging
import socket
import struct
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING

import pytest
from loguru import logger
from tests.support.platform.replica import event
from tests.support.platform.site import (
    BOOK_PATH,
    HOST,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    run_site,
)

from quetzaldeck.entry.settings import EntryBounds
from quetzaldeck.telemetry import configure_logging
from quetzaldeck.telemetry.log_lines import read_events

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

GRACE_S = 1.5
MANY_BYTES = 20_000_000
"""More than the buffers of a connection hold."""


@contextmanager
def read_log() -> Iterator[io.StringIO]:
    """Collect the log lines of all processes of a test."""
    stream = io.StringIO()
    handlers = logging.root.handlers[:]
    configure_logging(stream)
    try:
        yield stream
    finally:
        logger.remove()
        logging.root.handlers[:] = handlers


def list_lines(stream: io.StringIO, *events: str) -> list[dict[str, str]]:
    """:returns: the fields of the lines of some events"""
    return list(read_events(stream.getvalue().splitlines(), *events))


async def hang(arrival: Arrival, connection: Connection) -> None:
    await asyncio.sleep(60)


async def begin_and_hang(arrival: Arrival, connection: Connection) -> None:
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1) + event(2))
    await asyncio.sleep(60)


async def answer_much(arrival: Arrival, connection: Connection) -> None:
    await connection.answer(arrival, body=b"x" * MANY_BYTES)


def build_request(path: str, *, n_sent: int = 0, n_declared: int = 0) -> bytes:
    """:returns: a request as a caller writes it, with a part of its body"""
    fields = {
        "Host": HOST,
        "Quetzaldeck-Attempt-Id": "raw",
        "Quetzaldeck-Deadline-Ms": "3000",
        "Quetzaldeck-Key": KEY,
        "Content-Length": str(n_declared),
    }
    if path.startswith("/plan/"):
        fields["Quetzaldeck-Token-Counts"] = "1000,100"
    head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
    return f"POST {path} HTTP/1.1\r\n{head}\r\n".encode() + b"x" * n_sent


async def connect(site: Site) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = site.entry_address.rpartition(":")
    return await asyncio.open_connection(host, int(port))


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection as a caller does that has died."""
    sock = writer.get_extra_info("socket")
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_line(site: Site, log: io.StringIO, event: str) -> dict[str, str]:
    await site.wait(lambda: bool(list_lines(log, event)))
    (line,) = list_lines(log, event)
    return line


@pytest.mark.parametrize(
    ("path", "n_events"), [(PLAN_PATH, 2), (BOOK_PATH, 0), (LOOK_PATH, 0)]
)
def test_caller_that_leaves_is_recorded_with_what_it_received(
    path: str, n_events: int
) -> None:
    """Guards against lines on calls that do not say how far they had come."""

    async def test(site: Site, log: io.StringIO) -> None:
        reader, writer = await connect(site)
        writer.write(build_request(path))
        if n_events:
            await reader.readuntil(b"word2\n\n")
        else:
            await site.wait(lambda: bool(list_lines(log, "dispatched")))
        writer.close()
        line = await wait_line(site, log, "request_failed")
        assert line["request"] == "raw"
        assert line["reason"] == "caller_gone"
        assert line["route"] == path.split("/")[1]
        assert line["is_read"] == "True"
        assert line["n_attempts"] == "1"
        assert line["n_events"] == str(n_events)

    with read_log() as log:
        run_site(lambda site: test(site, log), engines=(begin_and_hang,), desks=(hang,))


def test_caller_that_leaves_within_its_body_is_recorded_as_not_read() -> None:
    async def test(site: Site, log: io.StringIO) -> None:
        _, writer = await connect(site)
        writer.write(build_request(BOOK_PATH, n_sent=10, n_declared=20))
        await asyncio.sleep(0.1)
        writer.close()
        line = await wait_line(site, log, "request_failed")
        assert line["request"] == "raw"
        assert line["is_read"] == "False"
        assert line["n_attempts"] == "0"
        assert not list_lines(log, "dispatched")

    with read_log() as log:
        run_site(lambda site: test(site, log))


@pytest.mark.parametrize("n_requests", [1, 3])
def test_request_that_is_read_as_its_caller_leaves_is_recorded(
    n_requests: int,
) -> None:
    """Guards against requests without any line.

    Their connection had closed when the VM came to handle them.
    """

    async def test(site: Site, log: io.StringIO) -> None:
        _, writer = await connect(site)
        await site.wait(lambda: len(site.entry.connections) == 1)
        (connection,) = site.entry.connections
        for _ in range(n_requests):
            connection.data_received(build_request(BOOK_PATH))
        connection.connection_lost(None)
        await asyncio.sleep(0.1)
        lines = list_lines(log, "request_unhandled", "request_failed")
        assert [line["request"] for line in lines] == ["raw"] * n_requests
        assert not list_lines(log, "dispatched")
        writer.close()

    with read_log() as log:
        run_site(lambda site: test(site, log))


def test_request_that_is_read_but_not_begun_is_recorded() -> None:
    """Guards against requests without any line: they end before their first step."""

    async def test(site: Site, log: io.StringIO) -> None:
        _, writer = await connect(site)
        await site.wait(lambda: len(site.entry.connections) == 1)
        (connection,) = site.entry.connections
        connection.data_received(build_request(BOOK_PATH))
        while connection._messages:
            await asyncio.sleep(0)
        connection.connection_lost(None)
        await asyncio.sleep(0.1)
        (line,) = list_lines(log, "request_unhandled", "request_failed")
        assert line["request"] == "raw"
        writer.close()

    with read_log() as log:
        run_site(lambda site: test(site, log))


def test_answer_that_cannot_be_written_is_recorded() -> None:
    """Guards against ``request_answered`` as the last line of a call without answer."""

    async def test(site: Site, log: io.StringIO) -> None:
        _, writer = await connect(site)
        writer.write(build_request(LOOK_PATH))
        await site.wait(lambda: bool(list_lines(log, "request_answered")))
        reset(writer)
        line = await wait_line(site, log, "response_unsent")
        assert (line["request"], line["status"]) == ("raw", "200")

    with read_log() as log:
        run_site(
            lambda site: test(site, log),
            desks=(answer_much,),
            bounds=EntryBounds(max_answer_bytes=MANY_BYTES),
        )


def test_stream_cut_off_by_a_shutdown_names_the_call() -> None:
    async def test(site: Site, log: io.StringIO) -> None:
        call = asyncio.create_task(site.call(PLAN_PATH, deadline_ms=10_000))
        await site.wait(lambda: bool(list_lines(log, "dispatched")))
        assert await site.entry.drain() == 1
        assert not (await call).is_whole
        cut_off, response, failed = list_lines(
            log, "request_cut_off", "response_cut_off", "request_failed"
        )
        assert cut_off["call"] == response["request"] == failed["request"] == "call1"
        assert response["n_events"] == failed["n_events"] == "2"
        assert failed["reason"] == "shutting_down"

    with read_log() as log:
        run_site(
            lambda site: test(site, log),
            engines=(begin_and_hang,),
            bounds=EntryBounds(grace_s=GRACE_S),
        )


def test_request_that_is_left_as_the_process_ends_is_recorded() -> None:
    """Guards against requests without a line on their end: nobody waits for them."""

    async def test(site: Site, log: io.StringIO) -> None:
        state = site.entry.session.state

        async def ignore_the_end() -> None:
            with state.in_flight.track("own", call_id="callers"):
                while True:
                    with suppress(asyncio.CancelledError):
                        await asyncio.sleep(60)
                    if is_over.is_set():
                        return

        is_over = asyncio.Event()
        task = asyncio.create_task(ignore_the_end())
        await asyncio.sleep(0)
        assert await site.entry.drain() == 1
        line = await wait_line(site, log, "request_unfinished")
        assert (line["request"], line["call"]) == ("own", "callers")
        is_over.set()
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    with read_log() as log:
        run_site(
            lambda site: test(site, log),
            bounds=EntryBounds(grace_s=GRACE_S),
        )


def test_malformed_request_is_recorded() -> None:
    async def test(site: Site, log: io.StringIO) -> None:
        reader, writer = await connect(site)
        writer.write(b"POST / HTTP/1.1\r\nbad\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.0 400")
        line = await wait_line(site, log, "library_log")
        assert line["error"] == "BadHttpMessage"
        writer.close()

    with read_log() as log:
        run_site(lambda site: test(site, log))


def test_all_connections_closed_unread_are_counted() -> None:
    """Guards against closed connections that no line counts, as none followed them."""

    async def test(site: Site, log: io.StringIO) -> None:
        site.entry.shedder.is_surplus = lambda _: True  # type: ignore[method-assign, union-attr]
        for _ in range(4):
            reader, writer = await connect(site)
            with suppress(ConnectionError):
                assert await reader.read() == b""
            writer.close()
        await asyncio.sleep(2.0)
        lines = list_lines(log, "connections_shed")
        assert [line["n_connections"] for line in lines] == ["1", "3"]

    with read_log() as log:
        run_site(lambda site: test(site, log))
