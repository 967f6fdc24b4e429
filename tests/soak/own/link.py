"""A TCP proxy that can be cut, silenced, or leave connections half-open."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from enum import StrEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Collection
    from types import TracebackType

READ_BYTES = 65_536
HOST = "127.0.0.1"


class LinkMode(StrEnum):
    """What a link does with connections and their bytes."""

    OPEN = "open"
    CUT = "cut"
    SILENT = "silent"


class PathMode(StrEnum):
    """What a link does with the connections of one source.

    ``SILENT``: they hang, open and new ones. ``RESET``: they are reset. ``REFUSE``: new
    ones are reset, while open ones live on. ``REQUESTS_LOST`` and ``ANSWERS_LOST``:
    bytes pass in the other direction only.
    """

    OPEN = "open"
    SILENT = "silent"
    RESET = "reset"
    REFUSE = "refuse"
    REQUESTS_LOST = "requests_lost"
    ANSWERS_LOST = "answers_lost"


class _Connection:
    """One connection through a link; a silenced one drops every byte.

    :param source: which VM opened it: what the link identified, or else its host
    """

    def __init__(self, writers: tuple[asyncio.StreamWriter, ...], source: str) -> None:
        self._writers = writers
        self.source = source
        self.is_silent = False
        self.mode = PathMode.OPEN
        self._lost: set[PathMode] = set()

    def drops(self, direction: PathMode) -> bool:
        """:returns: whether bytes of a direction are dropped"""
        return self.is_silent or self.mode is direction or direction in self._lost

    def note_lost(self, direction: PathMode) -> None:
        """Record that bytes were dropped: TCP delivers none that follow them."""
        self._lost.add(direction)

    def apply(self, mode: PathMode) -> None:
        """Change what happens to an open connection; a silenced one stays silent."""
        if mode is PathMode.RESET:
            self.abort()
        elif mode is PathMode.SILENT:
            self.is_silent = True
        elif mode is not PathMode.REFUSE:
            self.mode = mode

    def abort(self) -> None:
        """Abort the connection on both sides."""
        for writer in self._writers:
            writer.transport.abort()


class Link:
    """Forwards connections from one loopback port to another.

    :param port: port to forward to
    :param identify: returns the source of a connection from its first bytes
    """

    def __init__(
        self, port: int, *, identify: Callable[[bytes], str] | None = None
    ) -> None:
        self.target_port = port
        self._identify = identify
        self._blocked: frozenset[str] = frozenset()
        self._paths: dict[str, PathMode] = {}
        self._mode = LinkMode.OPEN
        self._connections: set[_Connection] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._port = 0
        self._may_answer = asyncio.Event()
        self._may_answer.set()

    @property
    def address(self) -> str:
        """:returns: base URL of the target through the link"""
        return f"http://{HOST}:{self._port}"

    async def __aenter__(self) -> Link:
        self._server = await asyncio.start_server(self._accept, HOST, 0)
        self._port = self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        assert self._server is not None
        self._server.close()
        for connection in tuple(self._connections):
            connection.abort()
        for task in tuple(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    def stop_listening(self) -> None:
        """Refuse connections, as the port of a process that has ended does."""
        assert self._server is not None
        self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    async def listen_again(self, target_port: int) -> None:
        """Forward connections at the same address to another port."""
        self.target_port = target_port
        self._server = await asyncio.start_server(self._accept, HOST, self._port)

    def set_mode(self, mode: LinkMode) -> None:
        """Change the mode of the link.

        ``CUT`` aborts connections and refuses new ones. ``SILENT`` accepts connections
        but drops every byte; they stay silent after the link is open again.
        """
        self._mode = mode
        if mode is LinkMode.CUT:
            for connection in tuple(self._connections):
                connection.abort()
        elif mode is LinkMode.SILENT:
            self.silence_open_connections()

    def silence_open_connections(self) -> None:
        """Drop all further bytes of open connections for good; new ones work."""
        for connection in self._connections:
            connection.is_silent = True

    def hold_answers(self) -> None:
        """Hold back all that the target sends, as one that is paused does."""
        self._may_answer.clear()

    def release_answers(self) -> None:
        """Forward what was held back; nothing is lost."""
        self._may_answer.set()

    def block_sources(self, sources: Collection[str]) -> None:
        """Drop the bytes of these sources, in open connections and in new ones.

        These connections stay silent after their source is unblocked.
        """
        self._blocked = frozenset(sources)
        for connection in self._connections:
            if connection.source in self._blocked:
                connection.is_silent = True

    def set_path(self, source: str, mode: PathMode) -> None:
        """Change what happens to the connections from one host."""
        self._paths[source] = mode
        for connection in tuple(self._connections):
            if connection.source == source:
                connection.apply(mode)

    def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.create_task(self._serve(reader, writer))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        task.add_done_callback(lambda _: writer.transport.abort())

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        host = writer.get_extra_info("peername")[0]
        path = self._paths.get(host, PathMode.OPEN)
        if self._mode is LinkMode.CUT or path in (PathMode.RESET, PathMode.REFUSE):
            return
        try:
            target = await asyncio.open_connection(HOST, self.target_port)
        except OSError:
            return
        target_reader, target_writer = target
        head = b"" if self._identify is None else await reader.read(READ_BYTES)
        source = host if self._identify is None else self._identify(head)
        connection = _Connection((writer, target_writer), source)
        connection.is_silent = self._mode is LinkMode.SILENT or source in self._blocked
        connection.apply(path)
        self._connections.add(connection)
        if not connection.is_silent:
            target_writer.write(head)
        try:
            async with asyncio.TaskGroup() as group:
                lost, answers_lost = PathMode.REQUESTS_LOST, PathMode.ANSWERS_LOST
                group.create_task(_forward(reader, target_writer, connection, lost))
                group.create_task(
                    _forward(
                        target_reader,
                        writer,
                        connection,
                        answers_lost,
                        self._may_answer,
                    )
                )
        finally:
            self._connections.discard(connection)
            target_writer.transport.abort()


async def _forward(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    connection: _Connection,
    direction: PathMode,
    may_pass: asyncio.Event | None = None,
) -> None:
    """Forward one direction of a connection, while ``may_pass`` is set if given."""
    # The event loop raises RuntimeError on a write to a transport it has closed.
    with suppress(OSError, RuntimeError):
        while data := await reader.read(READ_BYTES):
            if may_pass is not None:
                await may_pass.wait()
            if connection.drops(direction):
                connection.note_lost(direction)
                continue
            writer.write(data)
            await writer.drain()
    if connection.drops(direction):
        return
    with suppress(OSError, RuntimeError):
        writer.write_eof()


__all__ = ("Link", "LinkMode", "PathMode")
