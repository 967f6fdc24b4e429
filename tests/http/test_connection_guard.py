"""Tests of the guard that aborts stalled connections."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, cast

from quetzaldeck.http import ConnectionGuard, Stall

if TYPE_CHECKING:
    from aiohttp.web_protocol import RequestHandler

    from quetzaldeck.clock import ManualClock


class FakeTransport:
    def __init__(self) -> None:
        self.n_buffered = 0
        self.is_aborted = False

    def get_write_buffer_size(self) -> int:
        return self.n_buffered

    def abort(self) -> None:
        self.is_aborted = True


class FakeConnection:
    def __init__(self) -> None:
        self.transport = FakeTransport()


def make_guard(
    clock: ManualClock, connections: list[FakeConnection], stalls: list[Stall]
) -> ConnectionGuard:
    return ConnectionGuard(
        lambda: cast("Any", connections),
        clock,
        request_timeout_ms=1_000,
        read_timeout_ms=5_000,
        on_abort=stalls.append,
    )


def test_guard_aborts_connection_whose_answer_is_not_read(clock: ManualClock) -> None:
    """Guards against a caller that requests a long answer and does not read it.

    The answer would stay in the gateway's memory, at no cost to the caller.
    """
    stalls: list[Stall] = []
    reader, idle = FakeConnection(), FakeConnection()
    guard = make_guard(clock, [reader, idle], stalls)
    for connection in (reader, idle):
        guard.note_request(cast("RequestHandler", connection))
    reader.transport.n_buffered = 10_000
    guard.check_connections()
    clock.advance(4_000)
    reader.transport.n_buffered = 9_000
    guard.check_connections()
    clock.advance(4_999)
    guard.check_connections()
    assert stalls == []
    clock.advance(1)
    guard.check_connections()
    assert stalls == [Stall.SLOW_READER]
    assert reader.transport.is_aborted
    assert not idle.transport.is_aborted


def test_guard_aborts_connection_without_request(clock: ManualClock) -> None:
    stalls: list[Stall] = []
    connections = [FakeConnection()]
    guard = make_guard(clock, connections, stalls)
    guard.check_connections()
    clock.advance(1_000)
    guard.check_connections()
    assert stalls == [Stall.NO_REQUEST]
