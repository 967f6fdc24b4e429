"""A small stand-in for a replica: each test defines the exact bytes of its response."""

from __future__ import annotations

import asyncio
import json
import socket
import struct
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

CALL_ID = "quetzaldeck-attempt-id"
SEAL = "Quetzaldeck-Response-Seal: mark"
HEALTH_PATH = "/h"


class Fate(StrEnum):
    """What is left at the address of a replica that has ended.

    ``REFUSES``: nothing listens there. ``RESETS``: something on the way accepts
    connections and resets them. ``SILENT``: nothing answers, also on open connections.
    """

    REFUSES = "refuses"
    RESETS = "resets"
    SILENT = "silent"


class Arrival(NamedTuple):
    """One request as it arrived; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def call_id(self) -> str:
        """:returns: the caller's id"""
        return self.headers.get(CALL_ID, "")


class Connection:
    """One connection on which a replica responds.

    :param fields: returns header fields to add to each response
    """

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        fields: Callable[[], tuple[str, ...]],
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._fields = fields

    @property
    def is_left(self) -> bool:
        """:returns: whether the other end has closed the connection"""
        return self._reader.at_eof() or self._writer.transport.is_closing()

    def build_head(self, arrival: Arrival, status: int, *fields: str) -> bytes:
        """:returns: a head with the fields that the replica adds to each response"""
        return build_head(arrival, status, *fields, *self._fields())

    async def send(self, data: bytes) -> None:
        """Write bytes as they are."""
        self._writer.write(data)
        await self._writer.drain()

    async def answer(
        self,
        arrival: Arrival,
        *,
        status: int = 200,
        body: bytes = b"ok",
        head: str = "",
    ) -> None:
        """Write a complete response with a seal header."""
        await self.send(
            self.build_head(arrival, status, f"Content-Length: {len(body)}", SEAL, head)
            + body
        )

    async def answer_not_executed(
        self, arrival: Arrival, status: int = 503, *, rest: str = ""
    ) -> None:
        """Write a response which says that the request was not executed.

        :param rest: value of ``Retry-After``; ``""``: none
        """
        fields = ["Content-Length: 0", "Quetzaldeck-Not-Executed: 1"]
        if rest:
            fields.append(f"Retry-After: {rest}")
        await self.send(self.build_head(arrival, status, *fields))

    async def begin_stream(self, arrival: Arrival) -> None:
        """Write the head of an event stream with chunked transfer encoding."""
        fields = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked", SEAL)
        await self.send(self.build_head(arrival, 200, *fields))

    async def send_chunk(self, data: bytes) -> None:
        """Write one chunk."""
        await self.send(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    async def end_stream(self) -> None:
        """Write the last chunk, which ends the body."""
        await self.send(b"0\r\n\r\n")

    def reset(self) -> None:
        """Close the connection with a TCP reset."""
        if self._writer.transport.is_closing():
            return
        sock = self._writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        self._writer.transport.abort()

    def close(self) -> None:
        """Close the connection gracefully."""
        self._writer.close()


def build_head(arrival: Arrival, status: int, *fields: str) -> bytes:
    """:returns: status line and headers, including the caller's id"""
    lines = [f"HTTP/1.1 {status} Status", f"Quetzaldeck-Attempt-Id: {arrival.call_id}"]
    lines.extend(field for field in fields if field)
    return ("\r\n".join(lines) + "\r\n\r\n").encode()


def event(number: int, text: str = "word") -> bytes:
    """:returns: one event of a stream"""
    return f"id: {number}\ndata: {text}{number}\n\n".encode()


class StandInReplica:
    """Accepts connections and passes each request to ``handler``; a context manager.

    ``rate_limit`` is named in each response while it is not ``None``, and the cold time
    until ``cold_until_s`` of the event loop. While ``rest`` is not empty, calls are
    turned away with that ``Retry-After``. While ``is_leaving``, each response says so.
    """

    def __init__(
        self,
        replica_id: str,
        handler: Callable[[Arrival, Connection], Awaitable[None]] | None = None,
    ) -> None:
        self.replica_id = replica_id
        self.handler = handler or answer_ok
        self.arrivals: list[Arrival] = []
        self.n_connections = 0
        self.n_closed = 0
        self.n_reports = 0
        self.n_health_checks = 0
        self.pace = 1.0
        self.rate_limit: float | None = None
        self.cold_until_s = float("-inf")
        self.rest = ""
        self.is_leaving = False
        self.report: bytes | None = None
        self.is_silent_on_reports = False
        self.address = ""
        self._fate: Fate | None = None
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._connections: set[Connection] = set()

    async def __aenter__(self) -> StandInReplica:
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def crash(self, fate: Fate = Fate.REFUSES) -> None:
        """End as a process does that is killed, or as a host that is lost."""
        assert self._server is not None
        self._fate = fate
        if fate is Fate.REFUSES:
            self._server.close()
        if fate is not Fate.SILENT:
            for connection in tuple(self._connections):
                connection.reset()

    async def restart(self, replica_id: str) -> None:
        """Start again at the same address, under a new id."""
        self.replica_id = replica_id
        self._fate = None
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    @property
    def calls(self) -> list[Arrival]:
        """:returns: the received requests except reserve and release orders"""
        return [arrival for arrival in self.arrivals if arrival.target != "/order"]

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.n_connections += 1
        connection = Connection(reader, writer, self._list_fields)
        self._connections.add(connection)
        try:
            while True:
                arrival = await read_arrival(reader)
                if self._fate is Fate.RESETS:
                    connection.reset()
                    return
                if self._fate is Fate.SILENT:
                    await asyncio.sleep(3_600)
                if arrival.target == "/report":
                    await self._report(arrival, connection)
                    continue
                if arrival.target == HEALTH_PATH:
                    await self._answer_health_check(arrival, connection)
                    continue
                self.arrivals.append(arrival)
                if self.rest:
                    await connection.answer_not_executed(arrival, rest=self.rest)
                    continue
                await self.handler(arrival, connection)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.n_closed += 1
        except asyncio.CancelledError:
            # The test ended with this request open; asyncio would log the exception.
            return
        finally:
            self._connections.discard(connection)
            writer.close()

    def _list_fields(self) -> tuple[str, ...]:
        fields = []
        if self.rate_limit is not None:
            fields.append(f"Server-Limit: {self.rate_limit:g}")
        cold_ms = (self.cold_until_s - asyncio.get_running_loop().time()) * 1_000
        if cold_ms > 0:
            fields.append(f"Quetzaldeck-Cold-Ms: {cold_ms:.0f}")
        if self.is_leaving:
            fields.append("Server-Leaving: 1")
        return tuple(fields)

    async def _report(self, arrival: Arrival, connection: Connection) -> None:
        """Answer a pace query; it takes no slot and is not passed to ``handler``."""
        self.n_reports += 1
        if self.is_silent_on_reports:
            await asyncio.sleep(3_600)
        report = {"stage": "colocated", "queued": 0, "active": 0, "pace": self.pace}
        body = json.dumps(report).encode() if self.report is None else self.report
        await connection.answer(arrival, body=body)

    async def _answer_health_check(
        self, arrival: Arrival, connection: Connection
    ) -> None:
        """Answer a health check; it is not passed to ``handler``."""
        self.n_health_checks += 1
        if self.is_silent_on_reports:
            await asyncio.sleep(3_600)
        head = f"Quetzaldeck-Instance-Id: {self.replica_id}"
        await connection.answer(arrival, head=head)


async def read_arrival(reader: asyncio.StreamReader) -> Arrival:
    """:returns: the next request on a connection"""
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *fields = head.split("\r\n")
    method, target, _ = line.split(" ")
    headers = {}
    for field in fields:
        name, separator, value = field.partition(":")
        if separator:
            headers[name.lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Arrival(method, target, headers, body)


async def answer_ok(arrival: Arrival, connection: Connection) -> None:
    """Answer every request with status 200."""
    await connection.answer(arrival)


__all__ = (
    "HEALTH_PATH",
    "Arrival",
    "Connection",
    "Fate",
    "StandInReplica",
    "build_head",
    "event",
)
