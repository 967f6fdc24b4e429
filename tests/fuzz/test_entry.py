"""Arbitrary requests to an entry VM: an answer or a refusal, never an internal error.

An invalid request must not cause an internal error, must not reach a replica under
another customer's name or with an API key, and must not keep later callers from being
served.
"""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING

import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from tests.support.platform.replica import Arrival, Connection, event
from tests.support.platform.site import (
    BOOK_PATH,
    CUSTOMER,
    HOST,
    KEY,
    LOOK_PATH,
    PLAN_PATH,
    Site,
)

from quetzaldeck.entry.call_head import PromptSize
from quetzaldeck.platform import read_call_head, read_response_head

if TYPE_CHECKING:
    from collections.abc import Iterator

TIMEOUT_S = 10.0
METHODS = st.sampled_from([b"GET", b"POST", b"PUT", b"HEAD", b"OPTIONS", b"X"])
PATHS = st.one_of(
    st.sampled_from([PLAN_PATH, BOOK_PATH, LOOK_PATH, "/look/%2e%2e/x?y=%zz", "*"]).map(
        str.encode
    ),
    st.binary(max_size=20).map(lambda data: b"/" + data),
)
NAMES = st.sampled_from(
    [
        b"Quetzaldeck-Attempt-Id",
        b"Quetzaldeck-Deadline-Ms",
        b"Quetzaldeck-Expect-Instance",
        b"Quetzaldeck-Helpers",
        b"Quetzaldeck-Key",
        b"Quetzaldeck-Length-Hint",
        b"Quetzaldeck-Prefix-Hash",
        b"Quetzaldeck-Request-Priority",
        b"Quetzaldeck-Tenant",
        b"Quetzaldeck-Token-Counts",
        b"Last-Event-Id",
        b"Connection",
        b"Content-Length",
        b"Content-Encoding",
        b"Expect",
        b"Host",
        b"Transfer-Encoding",
        b"Upgrade",
    ]
)
VALUES = st.one_of(
    st.binary(max_size=30),
    st.sampled_from(
        [b"chunked", b"100-continue", b"5", b"-1", b"0", b"close", b"1e9", b"5,5"]
    ),
    st.integers().map(lambda number: str(number).encode()),
    st.sampled_from([b"9" * 400, b"9" * 5_000, b"-5,-5", b"9" * 400 + b",1", b"1,2,3"]),
    NAMES,
)
KEY_LINE = b"Quetzaldeck-Key: " + KEY.encode()
LINES = st.lists(
    st.one_of(
        st.just(KEY_LINE),
        st.tuples(NAMES, VALUES).map(lambda pair: pair[0] + b": " + pair[1]),
    ),
    max_size=5,
)


def build_request(method: bytes, path: bytes, lines: list[bytes], body: bytes) -> bytes:
    head = [method + b" " + path + b" HTTP/1.1", b"Host: " + HOST.encode(), *lines]
    return b"\r\n".join([*head, b"", body])


async def answer_stream(arrival: Arrival, connection: Connection) -> None:
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await connection.end_stream()


class RunningSite:
    """One site for all examples of a test, because starting one takes a second."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self.site = self._runner.run(self._enter())

    @staticmethod
    async def _enter() -> Site:
        return await Site(engines=(answer_stream,)).__aenter__()

    def send(self, data: bytes) -> bytes:
        """:returns: everything that the VM sent until it closed the connection

        :raises TimeoutError: if the VM keeps the connection open for longer than
            ``TIMEOUT_S``
        """
        return self._runner.run(self._send(data))

    async def _send(self, data: bytes) -> bytes:
        host, port = self.site.entry_address.split(":")
        async with asyncio.timeout(TIMEOUT_S):
            reader, writer = await asyncio.open_connection(host, int(port))
            try:
                with suppress(ConnectionError):
                    writer.write(data)
                    writer.write_eof()
                    return await reader.read()
                return b""
            finally:
                writer.transport.abort()

    def call(self) -> int:
        """:returns: status of a valid call"""
        return self._runner.run(self.site.call(LOOK_PATH)).status

    def check(self) -> None:
        """Check the invariants that must hold after any request."""
        metrics = self.site.entry.session.metrics.registry
        for ran in ("no", "unknown", "yes"):
            labels = {"reason": "internal_error", "ran": ran}
            assert not metrics.get_sample_value("quetzaldeck_failures_total", labels)
        for replica in (*self.site.engines, *self.site.desks):
            for arrival in replica.arrivals:
                assert arrival.headers["quetzaldeck-tenant"] == CUSTOMER
                assert "quetzaldeck-key" not in arrival.headers
                expected = arrival.headers["quetzaldeck-expect-instance"]
                assert expected == replica.replica_id
            replica.arrivals.clear()

    def close(self) -> None:
        """Stop the site."""
        self._runner.run(self.site.__aexit__(None, None, None))
        self._runner.close()


@pytest.fixture(scope="module")
def running() -> Iterator[RunningSite]:
    site = RunningSite()
    yield site
    site.close()


@given(method=METHODS, path=PATHS, lines=LINES, body=st.binary(max_size=40))
def test_entry_survives_any_request(
    running: RunningSite, method: bytes, path: bytes, lines: list[bytes], body: bytes
) -> None:
    running.send(build_request(method, path, [KEY_LINE, *lines], body))
    running.check()


@given(data=st.binary(max_size=200))
def test_entry_survives_any_bytes(running: RunningSite, data: bytes) -> None:
    running.send(data)
    running.check()


def test_next_caller_is_served(running: RunningSite) -> None:
    assert running.call() == 200


HEADER_VALUES = st.one_of(
    st.text(st.characters(blacklist_characters="\r\n\0", max_codepoint=255)),
    st.from_regex(r"-?[0-9]{1,5000}(,-?[0-9]{1,5000})*", fullmatch=True),
)


@given(value=HEADER_VALUES)
def test_numeric_headers_of_callers_are_accepted_or_refused(value: str) -> None:
    for name in ("Deadline-Ms", "Token-Counts", "Length-Hint"):
        headers = {"Quetzaldeck-Token-Counts": "5,5", f"Quetzaldeck-{name}": value}
        fault = ""
        prompt = PromptSize(0, 0)
        try:
            prompt = read_call_head(headers).prompt or prompt
        except ValueError as error:
            fault = str(error)
        assert not fault or fault.startswith("Quetzaldeck-")
        assert len(fault) < 200
        assert 0 <= prompt.n_prompt_tokens < 1 << 41
        assert 0 <= prompt.max_output_tokens < 1 << 41


@given(value=HEADER_VALUES)
def test_any_load_header_of_a_replica_is_read_or_ignored(value: str) -> None:
    load = read_response_head(200, {"Quetzaldeck-Instance-Load": value}).load
    if load is not None:
        assert min(load) >= 0
