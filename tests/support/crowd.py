"""Clients that keep no limit, many at once, on raw connections."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

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


__all__ = ("Crowd", "Habit")
