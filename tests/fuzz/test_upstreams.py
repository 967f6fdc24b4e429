"""Arbitrary responses of upstreams: a complete answer or an upstream error."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec
import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.gateway.answer import MAX_BUFFERED_CHUNKS, Answer, DropReason
from quetzaldeck.upstreams import (
    Attempt,
    Chunk,
    CompletionCall,
    OpenAiEngine,
    Owner,
    UpstreamError,
    UpstreamTimeouts,
)
from quetzaldeck.upstreams.sse import decode_line
from quetzaldeck.upstreams.watch import NoWatch

if TYPE_CHECKING:
    from collections.abc import Iterator

TEXT = "the whole answer of one request"
CALL = CompletionCall("m", "p", 10)
ATTEMPT = Attempt("a.1", Owner("v", "i"), CALL, 5, 5_000)
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
CHUNK = {
    "id": "a.1",
    "choices": [{"index": 0, "text": "x", "finish_reason": None}],
    "offset": 0,
}


def make_chunk(start: int, end: int, attempt_id: str = "a.1") -> Chunk:
    is_last = end >= len(TEXT)
    return Chunk(attempt_id, start, TEXT[start:end], finish_reason="stop" * is_last)


PIECES = st.builds(
    lambda start, length, attempt_id: Chunk(
        attempt_id,
        start,
        TEXT[start : start + length],
        finish_reason="stop" if start + length >= len(TEXT) else None,
    ),
    st.integers(0, len(TEXT)),
    st.integers(0, 8),
    st.sampled_from(["a.1", "a.1", "a.1", "b.1"]),
)


@given(pieces=st.lists(PIECES, max_size=80))
def test_answer_is_a_prefix_of_the_text_for_any_chunks(
    pieces: list[Chunk],
) -> None:
    answer = Answer()
    answer.begin_attempt("a.1")
    delivered = ""
    for piece in pieces:
        text = answer.accept(piece)
        if not isinstance(text, DropReason):
            delivered += text
        if answer.finish_reason is not None:
            break
    assert delivered == answer.text
    assert TEXT.startswith(delivered)
    assert answer.offset == len(delivered)
    if answer.finish_reason is not None:
        assert delivered == TEXT


@given(order=st.permutations(range(len(TEXT))))
def test_answer_is_complete_for_chunks_in_any_order(order: list[int]) -> None:
    answer = Answer()
    answer.begin_attempt("a.1")
    assert len(TEXT) < MAX_BUFFERED_CHUNKS
    for start in order:
        is_last = start + 1 == len(TEXT)
        finish_reason = "stop" if is_last else None
        answer.accept(
            Chunk("a.1", start, TEXT[start : start + 1], finish_reason=finish_reason)
        )
    assert answer.text == TEXT
    assert answer.finish_reason == "stop"


@given(line=st.binary(max_size=200))
def test_decode_line_accepts_any_bytes(line: bytes) -> None:
    data = decode_line(line)
    assert data is None or line.startswith(b"data:")


class FakeEngine:
    """A server that answers every request with the bytes that the test has set."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        self._answer = b""
        self._runner.run(self._open())

    async def _open(self) -> None:
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        self._server = server
        self._spec = UpstreamSpec("e", f"http://127.0.0.1:{port}")

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(self._answer)
        await writer.drain()
        writer.close()

    def complete(self, answer: bytes) -> list[Chunk] | None:
        """:returns: chunks received for ``answer``; ``None`` on an upstream error"""
        self._answer = answer

        async def attempt() -> list[Chunk] | None:
            async with asyncio.timeout(20), aiohttp.ClientSession() as client:
                engine = OpenAiEngine(self._spec, client, UpstreamTimeouts())
                try:
                    return [
                        chunk async for chunk in engine.complete(ATTEMPT, NoWatch())
                    ]
                except UpstreamError:
                    return None

        return self._runner.run(attempt())

    def close(self) -> None:
        """Stop the server."""
        self._server.close()
        self._runner.close()


@pytest.fixture(scope="module")
def fake_engine() -> Iterator[FakeEngine]:
    engine = FakeEngine()
    yield engine
    engine.close()


EVENTS = st.lists(
    st.one_of(
        st.binary(max_size=60),
        st.just(b"[DONE]"),
        st.dictionaries(
            st.sampled_from([*CHUNK, "n_output_tokens"]),
            st.one_of(
                st.none(),
                st.integers(),
                st.just("a.1"),
                st.just(CHUNK["choices"]),
                st.just([]),
                st.floats(allow_nan=False, allow_infinity=False),
            ),
        ).map(msgspec.json.encode),
    ),
    max_size=5,
)


@given(events=EVENTS)
def test_complete_yields_chunks_or_an_upstream_error(
    fake_engine: FakeEngine, events: list[bytes]
) -> None:
    body = b"".join(b"data: " + event + b"\n\n" for event in events)
    chunks = fake_engine.complete(HEAD + body)
    assert chunks is None or chunks[-1].finish_reason is not None


@given(answer=st.binary(max_size=200))
def test_complete_raises_an_upstream_error_for_invalid_http(
    fake_engine: FakeEngine, answer: bytes
) -> None:
    assert fake_engine.complete(answer) is None


def test_complete_limits_the_length_of_a_line(fake_engine: FakeEngine) -> None:
    """A faulty engine sends an event of unlimited length.

    Without a limit, buffering the event would exhaust the gateway's memory.
    """
    assert fake_engine.complete(HEAD + b"data: " + b"x" * (4 << 20)) is None
