"""Arbitrary requests to a gateway: an answer or a refusal, never an internal error."""

from __future__ import annotations

import asyncio
from contextlib import contextmanager, suppress
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import msgspec
import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.bundle import CallPattern, CustomerSpec, ServiceSpec
from quetzaldeck.gateway.customers import hash_key
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.gateway.parse import parse_call
from quetzaldeck.gateway.request_headers import (
    DEADLINE_HEADER,
    KEY_HEADER,
    PRIORITY_HEADER,
    read_deadline_ms,
    read_idempotency_key,
    read_priority,
)
from quetzaldeck.gateway.service_path import may_repeat
from quetzaldeck.gateway.settings import CallerBounds
from quetzaldeck.outcomes import Failure, Reason

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_DETAIL_LENGTH = 1_000
CUSTOMER = CustomerSpec("c", (hash_key("k"),))
SERVICE = ServiceSpec("s", "/desk", (CallPattern("POST", "/bookings*"),))
BOUNDS = CallerBounds(
    max_body_bytes=10_000, body_idle_ms=100, request_head_ms=500, silence_ms=50
)
VALUES = st.recursive(
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(max_size=20),
        st.sampled_from([MODEL, "user", "text", 1, 5]),
    ),
    lambda inner: st.one_of(
        st.lists(inner, max_size=3),
        st.dictionaries(
            st.sampled_from(["role", "content", "type", "text", "x"]), inner
        ),
    ),
    max_leaves=10,
)
FIELDS = st.sampled_from(
    [
        "model",
        "prompt",
        "messages",
        "max_tokens",
        "max_completion_tokens",
        "stream",
        "adapter",
        "temperature",
        "quetzaldeck",
    ]
)
HEADER_VALUES = st.text(
    st.characters(blacklist_characters="\r\n\0", max_codepoint=255), max_size=40
)


@contextmanager
def allow_refusal() -> Iterator[None]:
    failure = Failure(Reason.MALFORMED_REQUEST)
    try:
        yield
    except RequestError as error:
        failure = error.failure
    assert failure.reason is Reason.MALFORMED_REQUEST
    assert len(failure.detail) < MAX_DETAIL_LENGTH


@given(data=st.binary(max_size=200), is_chat=st.booleans())
def test_parse_call_accepts_or_refuses_any_bytes(data: bytes, *, is_chat: bool) -> None:
    with allow_refusal():
        parse_call(data, BOUNDS, is_chat=is_chat)


@given(body=st.dictionaries(FIELDS, VALUES), is_chat=st.booleans())
def test_parse_call_accepts_or_refuses_any_fields(
    body: dict[str, Any], *, is_chat: bool
) -> None:
    try:
        data = msgspec.json.encode(body)
    except (msgspec.MsgspecError, UnicodeEncodeError, OverflowError):
        return
    with allow_refusal():
        call = parse_call(data, BOUNDS, is_chat=is_chat)
        assert call.prompt
        assert 1 <= call.max_output_tokens <= BOUNDS.max_output_tokens
        assert "quetzaldeck" not in call.parameters


@pytest.mark.parametrize("data", [b"[" * 100_000, b'{"model":' * 50_000, b'"\\ud800"'])
def test_parse_call_accepts_or_refuses_pathological_json(data: bytes) -> None:
    with allow_refusal():
        parse_call(data, BOUNDS, is_chat=False)


@given(value=st.one_of(HEADER_VALUES, st.from_regex(r"[0-9]{1,5000}", fullmatch=True)))
def test_headers_are_accepted_or_refused(value: str) -> None:
    with allow_refusal():
        assert read_deadline_ms({DEADLINE_HEADER: value}, 1) >= 1
    with allow_refusal():
        assert 0 <= read_priority({PRIORITY_HEADER: value}, CUSTOMER) <= 9
    with allow_refusal():
        read_idempotency_key({KEY_HEADER: value})


@given(key=st.text(st.characters(max_codepoint=0x10FFFF), max_size=50))
def test_hash_key_accepts_any_header_value(key: str) -> None:
    as_header = key.encode("utf-8", "replace").decode("utf-8", "surrogateescape")
    assert len(hash_key(as_header)) == 64


@given(rest=st.text(max_size=20))
def test_may_repeat_accepts_any_path(rest: str) -> None:
    assert not may_repeat(SERVICE, "POST", "/bookings" + rest.replace("..", ""))
    may_repeat(SERVICE, "POST", rest)


METHODS = st.sampled_from([b"GET", b"POST", b"PUT", b"DELETE", b"X", b"\xff"])
PATHS = st.one_of(
    st.sampled_from(
        [
            b"/v1/completions",
            b"/v1/chat/completions",
            b"/v1/models",
            b"/desk/bookings",
            b"/desk/x?y=%zz",
            b"/metrics",
            b"*",
            b"//",
        ]
    ),
    st.binary(max_size=20).map(lambda data: b"/" + data),
)
HEADER_LINES = st.lists(
    st.one_of(
        st.just(b"Authorization: Bearer " + API_KEY.encode()),
        st.tuples(
            st.sampled_from(
                [
                    b"Authorization",
                    b"Idempotency-Key",
                    b"X-Deadline-Ms",
                    b"Content-Length",
                    b"Transfer-Encoding",
                    b"Expect",
                    b"Connection",
                    b"Upgrade",
                    b"X",
                ]
            ),
            st.one_of(
                st.binary(max_size=30),
                st.sampled_from([b"chunked", b"100-continue", b"5", b"-1", b"close"]),
            ),
        ).map(lambda pair: pair[0] + b": " + pair[1]),
    ),
    max_size=4,
)
BODIES = st.one_of(
    st.binary(max_size=60),
    st.dictionaries(FIELDS, st.sampled_from([MODEL, "p", 1, True])).map(
        msgspec.json.encode
    ),
)


def build_request(method: bytes, path: bytes, lines: list[bytes], body: bytes) -> bytes:
    head = [method + b" " + path + b" HTTP/1.1", b"Host: x", *lines]
    return b"\r\n".join([*head, b"", body])


async def send(address: str, data: bytes) -> bytes:
    """Send bytes and half-close the connection; read until the gateway closes it."""
    url = urlsplit(address)
    reader, writer = await asyncio.open_connection(url.hostname, url.port)
    try:
        with suppress(ConnectionError):
            writer.write(data)
            await writer.drain()
            writer.write_eof()
            return await reader.read()
        return b""
    finally:
        writer.transport.abort()


class RunningGateway:
    """One gateway for all examples of a test, because starting one takes a second."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        settings = FleetSettings(n_vms=1, n_engines=1, callers=BOUNDS)
        self._fleet = self._runner.run(self._enter(Fleet(settings)))

    @staticmethod
    async def _enter(fleet: Fleet) -> Fleet:
        return await fleet.__aenter__()

    def send(self, data: bytes) -> bytes:
        """:returns: everything that the gateway sent until it closed the connection

        :raises TimeoutError: if the gateway keeps the connection open
        """

        async def bounded() -> bytes:
            async with asyncio.timeout(20):
                return await send(self._fleet.gateway_addresses[0], data)

        return self._runner.run(bounded())

    def count_internal_errors(self) -> float:
        """:returns: number of failures with the reason ``internal_error``"""
        gateway = next(iter(self._fleet.vms.values())).gateway
        registry = gateway.session.metrics.registry
        return sum(
            registry.get_sample_value(
                "quetzaldeck_failures_total", {"reason": "internal_error", "ran": ran}
            )
            or 0.0
            for ran in ("no", "unknown", "yes")
        )

    def close(self) -> None:
        """Stop the fleet."""
        self._runner.run(self._fleet.__aexit__(None, None, None))
        self._runner.close()


@pytest.fixture(scope="module")
def gateway() -> Iterator[RunningGateway]:
    running = RunningGateway()
    yield running
    running.close()


@given(method=METHODS, path=PATHS, lines=HEADER_LINES, body=BODIES)
def test_gateway_survives_any_request(
    gateway: RunningGateway, method: bytes, path: bytes, lines: list[bytes], body: bytes
) -> None:
    gateway.send(build_request(method, path, lines, body))
    assert gateway.count_internal_errors() == 0


@given(data=st.binary(max_size=200))
def test_gateway_survives_any_bytes(gateway: RunningGateway, data: bytes) -> None:
    gateway.send(data)
    assert gateway.count_internal_errors() == 0
