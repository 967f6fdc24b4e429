"""Which connection is closed when a process has no room, and what there is room for."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from quetzaldeck.http.open_connections import OpenConnections, Phase, Shortage
from quetzaldeck.http.process_limits import CONNECTION_BYTES, ProcessLimits, share_out

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

LIMITS = ProcessLimits(
    max_connections=3,
    max_head_bytes=100,
    max_request_bytes=100,
    max_body_bytes=100,
    max_answer_bytes=100,
)


class FakeConnection:
    def __init__(self) -> None:
        self.is_closed = False
        self.has_ahead = True

    def close_for_room(self, shortage: Shortage) -> None:
        self.is_closed = True

    def drop_ahead(self) -> None:
        self.has_ahead = False


class Waiting(NamedTuple):
    """An open connection, and for how long it has been in its phase."""

    phase: Phase
    age_ms: float


IDLE, HEAD, BODY, WHOLE = Phase
GOES_FIRST = {
    "idle before head": ([Waiting(HEAD, 9_000), Waiting(IDLE, 2_000)], 1),
    "head before body": ([Waiting(BODY, 9_000), Waiting(HEAD, 2_000)], 1),
    "oldest of a phase": ([Waiting(HEAD, 2_000), Waiting(HEAD, 3_000)], 1),
    "new one is spared": ([Waiting(BODY, 2_000), Waiting(IDLE, 500)], 0),
    "oldest if all are new": ([Waiting(IDLE, 100), Waiting(BODY, 500)], 1),
    "never a whole one": ([Waiting(WHOLE, 9_000), Waiting(BODY, 10)], 1),
    "nobody": ([Waiting(WHOLE, 9_000), Waiting(WHOLE, 8_000)], None),
}


@pytest.mark.parametrize("name", GOES_FIRST)
def test_connection_with_least_of_a_request_goes_first(
    clock: ManualClock, name: str
) -> None:
    """Guards against a crowd that pushes out requests which have arrived."""
    waiting, expected = GOES_FIRST[name]
    connections = OpenConnections(LIMITS._replace(max_connections=2), clock)
    group = connections.open_group(1.0)
    fakes = [FakeConnection() for _ in waiting]
    for index in sorted(range(len(waiting)), key=lambda i: -waiting[i].age_ms):
        connections.add(group, fakes[index])
    begin_ms = clock.now_ms()
    last_ms = max(item.age_ms for item in waiting)
    for index in sorted(range(len(waiting)), key=lambda i: -waiting[i].age_ms):
        clock.advance(begin_ms + last_ms - waiting[index].age_ms - clock.now_ms())
        group.end(fakes[index])
        group.begin(fakes[index], clock.now_ms())
        group.move(fakes[index], waiting[index].phase)
    clock.advance(begin_ms + last_ms - clock.now_ms())
    assert connections.add(group, FakeConnection()) is (expected is not None)
    closed = [fake.is_closed for fake in fakes]
    assert closed == [index == expected for index in range(len(fakes))]


def test_fullest_address_gives_way(clock: ManualClock) -> None:
    """Guards against a crowd at one address that keeps clients out of another."""
    connections = OpenConnections(LIMITS, clock)
    callers, readiness = connections.open_group(8.0), connections.open_group(1.0)
    caller, probe, other_probe = FakeConnection(), FakeConnection(), FakeConnection()
    connections.add(callers, caller)
    clock.advance(5_000)
    connections.add(readiness, probe)
    connections.add(readiness, other_probe)
    assert connections.add(callers, FakeConnection())
    assert (caller.is_closed, probe.is_closed) == (False, True)


def test_memory_of_incomplete_requests_is_bounded(clock: ManualClock) -> None:
    """Guards against heads that end a process together; a slow one goes first."""
    connections = OpenConnections(LIMITS._replace(max_connections=5), clock)
    group = connections.open_group(1.0)
    idle, small, old, young, ahead = (FakeConnection() for _ in range(5))
    for fake in (idle, small, old, young, ahead):
        connections.add(group, fake)
    connections.hold_idle(idle, 10)
    connections.hold(small, 10)
    connections.hold(old, 40)
    connections.hold_ahead(ahead, 30)
    connections.hold(young, 20)
    assert not ahead.has_ahead, "what is ahead of its turn goes before all else"
    assert not old.is_closed
    connections.hold(young, 50)
    assert (old.is_closed, young.is_closed) == (True, False)
    assert not small.is_closed, "little is gained by closing it"
    assert not idle.is_closed, "it goes after those that wait for a request"
    for fake in (idle, small, young):
        connections.remove(group, fake)
    assert connections.room.n_head_bytes == 0


def test_request_without_memory_is_refused(clock: ManualClock) -> None:
    """Guards against requests in progress that end a process together."""
    connections = OpenConnections(LIMITS, clock)
    first, second = FakeConnection(), FakeConnection()
    assert connections.begin_request(first, 60, 0.9)
    assert not connections.begin_request(second, 31, 0.9)
    assert connections.begin_request(second, 31, 1.0)
    connections.end_request(first)
    assert connections.room.n_request_bytes == 31


def test_unread_answers_are_bounded(clock: ManualClock) -> None:
    """Guards against answers of an address without callers that nobody reads."""
    connections = OpenConnections(LIMITS, clock)
    group = connections.open_group(1.0)
    old, young = FakeConnection(), FakeConnection()
    for fake in (old, young):
        connections.add(group, fake)
        connections.hold_answer(fake, 60)
    assert (old.is_closed, young.is_closed) == (True, False)
    assert connections.room.n_answer_bytes == 60


@pytest.mark.parametrize("memory_mb", [4.0, 64.0, 100.0, 152.0, 200.0, 300.0, 552.0])
def test_shares_fit_into_the_memory_of_a_process(memory_mb: float) -> None:
    """Guards against shares that are bounded, and exceed the memory together."""
    limits = share_out(memory_mb, 8_192)
    taken = limits.max_connections * CONNECTION_BYTES
    taken += limits.max_head_bytes + limits.max_request_bytes
    taken += 2 * (limits.max_body_bytes + limits.max_answer_bytes)
    assert taken <= 0.7 * memory_mb * 1_000_000


@pytest.mark.parametrize("max_descriptors", [1, 10, 400, 1_000, 4_100])
def test_descriptors_are_left_for_upstreams(max_descriptors: int) -> None:
    """Guards against accepted connections that take all descriptors."""
    n_connections = share_out(10_000.0, max_descriptors).max_connections
    assert 1 <= n_connections <= max(1, max_descriptors / 2)
