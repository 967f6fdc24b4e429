"""Clients that keep no limit, many at once, on raw connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

from tests.support.platform.site import HOST, LOOK_PATH

if TYPE_CHECKING:
    from types import TracebackType

RECONNECT_S = 0.05
BLOCK_BYTES = 65_536


class Habit(NamedTuple):
    """What one client does on each of its connections.

    :param begin: bytes that it sends first
    :param unit: bytes that it then sends without end; ``b""``: it only waits
    :param unit_s: pause between two units; 0: as fast as the connection takes them
    :param reads: whether it reads what it receives
    """

    begin: bytes = b""
    unit: bytes = b""
    unit_s: float = 0.0
    reads: bool = True


def build_request(key: str = "") -> bytes:
    """:returns: the head of a look-up, but for its last lines

    :param key: the caller's; ``""``: it has none
    """
    start = f"POST {LOOK_PATH} HTTP/1.1\r\nHost: {HOST}\r\n"
    if key:
        start += "Quetzaldeck-Attempt-Id: a\r\nQuetzaldeck-Deadline-Ms: 5000\r\n"
        start += f"Quetzaldeck-Key: {key}\r\n"
    return start.encode()


def build_habits(key: str) -> dict[str, Habit]:
    """:returns: what clients without limits do, by name

    :param key: a valid one
    """
    start, keyed = build_request(), build_request(key)
    whole = keyed + b"Content-Length: 0\r\n\r\n"
    chunked = keyed + b"Transfer-Encoding: chunked\r\n\r\n"
    field, short = b"X-Field: " + b"a" * 16_000 + b"\r\n", b"X-Field: a\r\n"
    body = keyed + b"Content-Length: 100000\r\n\r\n"
    return {
        "held_heads": Habit(start + field * 15),
        "fields_without_end": Habit(start, short),
        "many_small_fields": Habit(
            start + b"a:\r\n" * 3_500 + b"Content-Length: 0\r\n\r\n"
        ),
        "request_line_without_end": Habit(b"GET /", b"a"),
        "one_field_without_end": Habit(start + b"X-Field: ", b"a"),
        "trailers_without_end": Habit(chunked + b"5\r\nhello\r\n0\r\n", short),
        "noise": Habit(b"", bytes(range(128, 256))),
        "empty_lines": Habit(b"", b"\r\n", unit_s=0.05),
        "empty_lines_between_requests": Habit(b"", whole + b"\r\n" * 100_000),
        "requests_without_end": Habit(b"", whole, reads=False),
        "held_bodies": Habit(body + b"a" * 99_999),
        "slow_bodies": Habit(body, b"a", unit_s=0.5),
        "unread_answers": Habit(whole * 20, reads=False),
        "connections": Habit(),
    }


class Crowd:
    """Clients of one habit, which reconnect when they are closed; a context manager."""

    def __init__(self, address: str, n_clients: int, habit: Habit) -> None:
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._n_clients = n_clients
        self._habit = habit
        n_units = BLOCK_BYTES // len(habit.unit) if habit.unit else 0
        self._block = habit.unit * max(1, n_units)
        self._tasks: list[asyncio.Task[None]] = []
        self.n_connections = 0

    async def __aenter__(self) -> Crowd:
        clients = (self._run_client() for _ in range(self._n_clients))
        self._tasks = [asyncio.create_task(client) for client in clients]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _run_client(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            try:
                transport, protocol = await loop.create_connection(
                    _Client, self._host, self._port
                )
            except OSError:
                await asyncio.sleep(RECONNECT_S)
                continue
            self.n_connections += 1
            if not self._habit.reads:
                transport.pause_reading()
            try:
                await self._send(transport, protocol)
            finally:
                transport.abort()
            await asyncio.sleep(RECONNECT_S)

    async def _send(self, transport: asyncio.Transport, client: _Client) -> None:
        """Send until the connection is closed."""
        habit = self._habit
        transport.write(habit.begin)
        while habit.unit and not client.closed.done():
            if habit.unit_s:
                transport.write(habit.unit)
                await asyncio.wait((client.closed,), timeout=habit.unit_s)
            else:
                transport.write(self._block)
                await client.wait_writable()
        await client.closed


class _Client(asyncio.Protocol):
    """One connection; what is received is dropped."""

    def __init__(self) -> None:
        self.closed = asyncio.get_running_loop().create_future()
        self._writable = asyncio.Event()
        self._writable.set()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)
        self._writable.set()

    def pause_writing(self) -> None:
        self._writable.clear()

    def resume_writing(self) -> None:
        self._writable.set()

    async def wait_writable(self) -> None:
        """Wait until more may be written, or the connection is closed."""
        await asyncio.sleep(0)
        await self._writable.wait()


__all__ = ("Crowd", "Habit", "build_habits")
