"""Which new connections a VM closes while it is behind."""

from __future__ import annotations

import asyncio

import uvloop
from aiohttp import web

from quetzaldeck.clock import ManualClock
from quetzaldeck.http import ConnectionShedder, HttpServiceBase, ListenAddress
from quetzaldeck.http.shedding import INTERVAL_MS, MAX_WAIT_MS

LONG_MS = 2 * MAX_WAIT_MS


def judge(shedder: ConnectionShedder, clock: ManualClock, *waits_ms: float) -> int:
    """:returns: number of connections that are closed, of one each 50 ms"""
    n_closed = 0
    for wait_ms in waits_ms:
        n_closed += shedder.is_surplus(wait_ms)
        clock.advance(50.0)
    return n_closed


def test_connections_are_closed_while_all_of_them_wait_long() -> None:
    """Guards against a VM that reads more than it can answer."""
    clock = ManualClock(1_000.0)
    shedder = ConnectionShedder(clock)
    n_first = int(INTERVAL_MS // 50)
    assert judge(shedder, clock, *[LONG_MS] * n_first) == 0
    assert judge(shedder, clock, *[LONG_MS] * 10) == 10


def test_connection_that_waited_less_ends_the_closing() -> None:
    """Guards against closing connections that this VM would serve at once."""
    clock = ManualClock(1_000.0)
    shedder = ConnectionShedder(clock)
    judge(shedder, clock, *[LONG_MS] * 20)
    assert judge(shedder, clock, 10.0) == 0
    assert judge(shedder, clock, *[LONG_MS] * 5) == 0


def test_backlog_of_a_pause_is_read() -> None:
    """Guards against closing what came while the process was frozen."""
    clock = ManualClock(1_000.0)
    shedder = ConnectionShedder(clock)
    judge(shedder, clock, 5.0)
    clock.advance(3_000.0)
    assert sum(shedder.is_surplus(3_000.0) for _ in range(200)) == 0
    assert judge(shedder, clock, 20.0, 5.0, 5.0) == 0


def test_rare_connections_that_wait_long_are_read() -> None:
    """Guards against closing all of a few connections to a VM that is slow now."""
    clock = ManualClock(1_000.0)
    shedder = ConnectionShedder(clock)
    for _ in range(10):
        assert not shedder.is_surplus(LONG_MS)
        clock.advance(2 * INTERVAL_MS)


class _AlwaysBehind(ConnectionShedder):
    def is_surplus(self, wait_ms: float) -> bool:
        return True


class _Service(HttpServiceBase):
    n_read = n_shed = 0

    async def open(self) -> web.Application:
        application = web.Application()
        application.router.add_get("/", self._answer)
        return application

    async def close(self) -> None:
        return

    def note_shed(self) -> None:
        self.n_shed += 1

    async def _answer(self, _: web.Request) -> web.Response:
        self.n_read += 1
        return web.Response(text="ok")


async def _fetch(service: _Service) -> bytes:
    reader, writer = await asyncio.open_connection("127.0.0.1", service.port)
    try:
        writer.write(b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")
        return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.close()


def test_surplus_connection_is_closed_without_any_answer() -> None:
    """Guards against a half answer, which callers must not take for an unread one."""

    async def test() -> None:
        for shedder, is_read in (
            (ConnectionShedder(ManualClock(1_000.0)), True),
            (_AlwaysBehind(ManualClock(1_000.0)), False),
        ):
            service = _Service(ListenAddress("127.0.0.1", 0))
            service.shedder = shedder
            async with service:
                answer = await _fetch(service)
            assert answer.startswith(b"HTTP/1.1 200") is is_read
            assert bool(answer) is is_read
            assert (service.n_read, service.n_shed) == (is_read, not is_read)

    uvloop.run(test())


__all__: tuple[str, ...] = ()
