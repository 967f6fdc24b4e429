"""The event loop in virtual time."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from contextlib import suppress

import aiohttp
import pytest
from tests.support.platform.replica import StandInReplica
from tests.support.virtual_time import RESOLUTION_S, run_virtual

from quetzaldeck.clock import Clock

HOUR_S = 3_600.0
STALL_S = 0.2
IDLE_S = 15.0


async def _answer(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    writer.write(await reader.readline())
    writer.close()


def test_timers_fire_in_their_order_at_their_time() -> None:
    """Guards against a clock that jumps over timers."""

    async def run() -> list[float]:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        fired: list[float] = []
        for delay_s in (HOUR_S, 0.001, 5.0, 0.0015):
            loop.call_later(delay_s, lambda: fired.append(loop.time() - begin_s))
        await asyncio.sleep(2 * HOUR_S)
        return fired

    began_s = time.monotonic()
    assert run_virtual(run()) == pytest.approx([0.001, 0.0015, 5.0, HOUR_S])
    assert time.monotonic() - began_s < HOUR_S / 100


def test_those_who_wait_for_the_rest_of_a_timer_see_the_time_pass() -> None:
    """Guards against a clock that stands still while some wait until they are due."""

    async def count_waits(due_ms: float, n_turns: int) -> int:
        clock = Clock()
        for n_waits in range(100):
            wait_ms = due_ms - clock.now_ms()
            if wait_ms <= 0:
                return n_waits
            with suppress(TimeoutError):
                async with asyncio.timeout(wait_ms / 1_000):
                    await asyncio.Event().wait()
            if n_waits == 0:
                for _ in range(n_turns):
                    await asyncio.sleep(0)
        return 100

    async def run() -> list[int]:
        due_ms = Clock().now_ms() + 100.0
        # All fire at the time of the first, and some are ready while others wait.
        early_s = 0.1 - RESOLUTION_S / 2
        asyncio.get_running_loop().call_later(early_s, lambda: None)
        return await asyncio.gather(*(count_waits(due_ms, n) for n in range(2)))

    assert run_virtual(run()) == [2, 2]


def test_answers_on_the_way_come_before_timers() -> None:
    """Guards against timeouts that pass while the kernel delivers an answer."""

    async def run() -> float:
        loop = asyncio.get_running_loop()
        server = await asyncio.start_server(_answer, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        begin_s = loop.time()
        for _ in range(200):
            async with asyncio.timeout(1e-3):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                writer.write(b"question\n")
                assert await reader.read() == b"question\n"
                writer.close()
        server.close()
        return loop.time() - begin_s

    assert run_virtual(run()) == 0.0


def test_stall_of_the_process_costs_no_time() -> None:
    """Guards against timers that are overdue because the machine was busy."""

    async def run() -> float:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        async with asyncio.timeout(STALL_S / 2):
            time.sleep(STALL_S)  # noqa: ASYNC251 - blocks the event loop
            await asyncio.sleep(0)
        return loop.time() - begin_s

    assert run_virtual(run()) == 0.0


def test_time_stands_still_while_a_thread_works() -> None:
    """Guards against timeouts of what a thread does in the meantime."""

    async def run() -> float:
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        async with asyncio.timeout(STALL_S / 2):
            await asyncio.to_thread(time.sleep, STALL_S)
        return loop.time() - begin_s

    assert run_virtual(run()) == 0.0


def test_loop_without_timers_waits_without_using_the_processor() -> None:
    """Guards against a loop that polls its sockets when it has nothing to do."""

    async def run() -> bytes:
        loop = asyncio.get_running_loop()
        near, far = socket.socketpair()
        with near, far:
            near.setblocking(False)  # noqa: FBT003 - interface of the library
            threading.Timer(STALL_S, far.send, (b"late",)).start()
            return await loop.sock_recv(near, 4)

    began_s = time.process_time()
    assert run_virtual(run()) == b"late"
    assert time.process_time() - began_s < STALL_S / 2


def test_clocks_agree_with_the_loop() -> None:
    """Guards against VMs whose clock differs from that of their timers."""

    async def run() -> tuple[float, float, float]:
        clock = Clock()
        before = clock.now_ms(), clock.uptime_ms(), clock.wall_ms()
        await asyncio.sleep(1.5)
        after = clock.now_ms(), clock.uptime_ms(), clock.wall_ms()
        first, second, third = (b - a for a, b in zip(before, after, strict=True))
        return first, second, third

    assert run_virtual(run()) == pytest.approx((1_500.0,) * 3)


def test_connections_of_clients_age_in_virtual_time() -> None:
    """Guards against idle connections that are kept for ever."""

    async def run() -> int:
        connector = aiohttp.TCPConnector(keepalive_timeout=IDLE_S)
        async with (
            StandInReplica("e0") as replica,
            aiohttp.ClientSession(connector=connector) as client,
        ):
            for pause_s in (0.0, IDLE_S / 2, IDLE_S * 2):
                await asyncio.sleep(pause_s)
                async with client.get(f"http://{replica.address}/") as response:
                    await response.read()
            return replica.n_connections

    assert run_virtual(run()) == 2


__all__: tuple[str, ...] = ()
