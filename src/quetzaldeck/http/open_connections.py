"""The connections that a process has accepted, bounded all together.

Load pattern: clients that each stay inside the limits of one connection, but come in
such numbers that the process runs out of memory or descriptors, and all requests end
with it. They hold a part of a request, or nothing, for as long as they may.

Each connection is counted, with the memory of what it has sent. When there is no room
for another one, the connection goes that has sent least of a request for the longest;
one whose request has arrived whole stays until it is answered.
"""

from __future__ import annotations

import gc
from collections import deque
from enum import Enum, IntEnum
from typing import TYPE_CHECKING, NamedTuple, Protocol

from quetzaldeck.clock import Clock

if TYPE_CHECKING:
    import asyncio
    from collections.abc import Callable

    from quetzaldeck.http.process_limits import ProcessLimits

GRACE_MS = 1_000.0
"""How long a connection is spared while older ones can go: the time within which a
client expects that its connection is established and its request read."""

CLOSED_PER_COLLECTION = 512
"""Connections that are closed for others between two collections of garbage: some are
part of reference cycles, in which they hold what they have received."""


class Phase(IntEnum):
    """How much of a request a connection has sent."""

    IDLE = 0
    HEAD = 1
    BODY = 2
    WHOLE = 3


class Shortage(Enum):
    """What a connection is closed for, so that there is room for others."""

    CONNECTIONS = "connections"
    MEMORY = "memory"


class Holder(Protocol):
    """A connection that can give up what it holds."""

    def close_for_room(self, shortage: Shortage) -> None:
        """Close the connection, on which no request has arrived whole."""

    def drop_ahead(self) -> None:
        """Forget what has arrived behind the request in progress."""


class Room(NamedTuple):
    """How much is taken of what a process may take.

    :param n_connections: open connections
    :param n_head_bytes: memory of incomplete heads, and of what waits for its turn
    :param n_request_bytes: memory of requests in progress
    :param n_answer_bytes: answers that are not read, but for those to callers
    """

    n_connections: int
    n_head_bytes: int
    n_request_bytes: int
    n_answer_bytes: int


class HeldBytes:
    """Memory of some kind, by the connection that holds it, the oldest first."""

    def __init__(self) -> None:
        self._bytes: dict[Holder, int] = {}
        self.n_bytes = 0

    def set(self, connection: Holder, n_bytes: int) -> None:
        """Update what a connection holds; its place among the others stays."""
        self.n_bytes += n_bytes - self._bytes.get(connection, 0)
        if n_bytes:
            self._bytes[connection] = n_bytes
        else:
            self._bytes.pop(connection, None)

    def find_oldest(self) -> Holder:
        """:returns: who has held memory for the longest"""
        return next(iter(self._bytes))

    def find_oldest_large(self) -> Holder:
        """:returns: who has, of those that hold as much as the mean"""
        mean = self.n_bytes // len(self._bytes)
        return next(key for key, n_bytes in self._bytes.items() if n_bytes >= mean)


class OpenConnections:
    """Counts the connections of all addresses of a process.

    :param limits: ``None``: no limits, for programs that serve tests
    """

    def __init__(
        self, limits: ProcessLimits | None = None, clock: Clock | None = None
    ) -> None:
        self.limits = limits
        self.clock = clock or Clock()
        self.on_over_bound: Callable[[str], None] | None = None
        """Called with the name of the bound for which a connection is closed."""
        self.turns = Turns()
        self._groups: list[ConnectionGroup] = []
        self._n_connections = 0
        self._ahead = HeldBytes()
        self._incomplete = HeldBytes()
        self._idle = HeldBytes()
        self._requests = HeldBytes()
        self._answers = HeldBytes()
        self._all_held = (
            self._ahead,
            self._incomplete,
            self._idle,
            self._requests,
            self._answers,
        )
        self._n_closed = 0

    @property
    def room(self) -> Room:
        """:returns: what is taken now"""
        return Room(
            self._n_connections,
            self._n_head_bytes,
            self._requests.n_bytes,
            self._answers.n_bytes,
        )

    def open_group(self, weight: float) -> ConnectionGroup:
        """:returns: the connections of one more address

        :param weight: its part of the connections, relative to other addresses
        """
        group = ConnectionGroup(self, weight)
        self._groups.append(group)
        return group

    def add(self, group: ConnectionGroup, connection: Holder) -> bool:
        """Count a new connection, for which an older one may have to go.

        :returns: whether there is room for it
        """
        limits = self.limits
        if limits is not None and self._n_connections >= limits.max_connections:
            oldest = self._find_least()
            if oldest is None:
                return False
            self._close(oldest, Shortage.CONNECTIONS)
        self._n_connections += 1
        group.begin(connection, self.clock.now_ms())
        return True

    def remove(self, group: ConnectionGroup, connection: Holder) -> None:
        """Forget a connection that is closed, or is about to be."""
        if group.end(connection):
            self._n_connections -= 1
        for held in self._all_held:
            held.set(connection, 0)

    def hold(self, connection: Holder, n_bytes: int) -> None:
        """Note the memory of a request that is not complete; 0: there is none.

        Of those that hold as much as the others, or more, the one goes first that has
        held memory for the longest, whether it still sends or not.
        """
        self._idle.set(connection, 0)
        self._incomplete.set(connection, n_bytes)
        self._make_room()

    def hold_idle(self, connection: Holder, n_bytes: int) -> None:
        """Note the memory that a connection keeps of its last request."""
        self._incomplete.set(connection, 0)
        self._idle.set(connection, n_bytes)
        self._make_room()

    def hold_ahead(self, connection: Holder, n_bytes: int) -> None:
        """Note the memory of what has arrived behind a request in progress."""
        self._ahead.set(connection, n_bytes)
        self._make_room()

    def hold_answer(self, connection: Holder, n_bytes: int) -> None:
        """Note the memory of an answer that is not read yet; 0: it is.

        The one that is unread for the longest may have to go. Answers to callers have
        memory of their own, for which they wait before they are read from an upstream,
        so that none of them is lost.
        """
        self._answers.set(connection, n_bytes)
        if self.limits is None:
            return
        while self._answers.n_bytes > self.limits.max_answer_bytes:
            self._close(self._answers.find_oldest(), Shortage.MEMORY)

    def begin_request(self, connection: Holder, n_bytes: int, share: float) -> bool:
        """Note the memory of a request that is to be served.

        :param share: of the memory that it may be in
        :returns: whether there is room for it
        """
        n_after = self._requests.n_bytes + n_bytes
        limits = self.limits
        if limits is not None and n_after > limits.max_request_bytes * share:
            return False
        self._requests.set(connection, n_bytes)
        return True

    def end_request(self, connection: Holder) -> None:
        """Forget the request of a connection, if there is one."""
        self._requests.set(connection, 0)

    @property
    def _n_head_bytes(self) -> int:
        return self._ahead.n_bytes + self._incomplete.n_bytes + self._idle.n_bytes

    def _make_room(self) -> None:
        if self.limits is None:
            return
        while self._n_head_bytes > self.limits.max_head_bytes:
            if self._ahead.n_bytes:
                oldest = self._ahead.find_oldest()
                self._ahead.set(oldest, 0)
                oldest.drop_ahead()
            elif self._incomplete.n_bytes:
                self._close(self._incomplete.find_oldest_large(), Shortage.MEMORY)
            else:
                self._close(self._idle.find_oldest(), Shortage.MEMORY)

    def _close(self, connection: Holder, shortage: Shortage) -> None:
        for group in self._groups:
            self.remove(group, connection)
        connection.close_for_room(shortage)
        self._n_closed += 1
        if self._n_closed % CLOSED_PER_COLLECTION == 0:
            gc.collect()

    def _find_least(self) -> Holder | None:
        """:returns: the connection to close for a new one, at the fullest address"""
        now_ms = self.clock.now_ms()
        for group in sorted(self._groups, key=lambda group: group.load, reverse=True):
            found = group.find_least(now_ms)
            if found is not None:
                return found
        return None


class ConnectionGroup:
    """The connections of one address.

    :param weight: see :meth:`OpenConnections.open_group`
    """

    def __init__(self, owner: OpenConnections, weight: float) -> None:
        self.owner = owner
        self._weight = weight
        self._phases: dict[Holder, Phase] = {}
        self._since_ms: dict[Phase, dict[Holder, float]] = {
            phase: {} for phase in Phase
        }

    @property
    def load(self) -> float:
        """:returns: open connections, relative to the part of this address"""
        return len(self._phases) / self._weight

    def begin(self, connection: Holder, now_ms: float) -> None:
        """Add a connection."""
        self._phases[connection] = Phase.IDLE
        self._since_ms[Phase.IDLE][connection] = now_ms

    def end(self, connection: Holder) -> bool:
        """Remove a connection.

        :returns: whether it was there
        """
        phase = self._phases.pop(connection, None)
        if phase is None:
            return False
        del self._since_ms[phase][connection]
        return True

    def move(self, connection: Holder, phase: Phase) -> None:
        """Note how much of a request a connection has sent now."""
        before = self._phases.get(connection)
        if before is None or before is phase:
            return
        del self._since_ms[before][connection]
        self._phases[connection] = phase
        self._since_ms[phase][connection] = self.owner.clock.now_ms()

    def find_least(self, now_ms: float) -> Holder | None:
        """:returns: who has sent least of a request for the longest, if anybody"""
        oldest: list[tuple[float, Holder]] = []
        for phase in (Phase.IDLE, Phase.HEAD, Phase.BODY):
            for connection, since_ms in self._since_ms[phase].items():
                if now_ms - since_ms >= GRACE_MS:
                    return connection
                oldest.append((since_ms, connection))
                break
        return min(oldest, key=lambda item: item[0])[1] if oldest else None


class Turns:
    """Lets requests begin that arrived ahead of their turn, one a pass of the loop.

    Load pattern: clients that send many requests on each connection before they read an
    answer. Were all of them begun at once, each step of an ordinary request would wait
    for a step of all others.
    """

    def __init__(self) -> None:
        self._waiting: deque[asyncio.Future[None]] = deque()

    async def wait(self, loop: asyncio.AbstractEventLoop) -> None:
        """Wait for a turn."""
        turn: asyncio.Future[None] = loop.create_future()
        self._waiting.append(turn)
        if len(self._waiting) == 1:
            loop.call_soon(self._grant, loop)
        await turn

    def _grant(self, loop: asyncio.AbstractEventLoop) -> None:
        while self._waiting:
            turn = self._waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                break
        if self._waiting:
            loop.call_soon(self._grant, loop)


__all__ = ("ConnectionGroup", "OpenConnections", "Phase", "Room", "Shortage")
