"""Timeouts of a process whose event loop is late."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest
import uvloop

from quetzaldeck.running_timeout import RunningTimeout

TIMEOUT_MS = 1_000.0
STALL_S = 0.3
N_ITERATIONS = 5
"""Iterations of the event loop that a client takes for data that has arrived."""
MAX_LATE_S = 1.0


async def read_beside_stall(begin_s: float, *, is_silent: bool) -> bytes:
    """Read from a socket with a timeout, and block the event loop meanwhile.

    :param begin_s: when the event loop is blocked, from the begin of the timeout
    :param is_silent: whether nothing arrives; otherwise the data arrives while the
        event loop is blocked
    """
    own, other = socket.socketpair()
    with own, other:
        loop = asyncio.get_running_loop()

        def stall() -> None:
            if not is_silent:
                other.send(b"answer")
            time.sleep(STALL_S)

        loop.call_later(begin_s, stall)
        reader, writer = await asyncio.open_connection(sock=own)
        try:
            async with RunningTimeout(TIMEOUT_MS):
                data = await reader.readexactly(6)
                for _ in range(N_ITERATIONS):
                    await asyncio.sleep(0)
                return data
        finally:
            writer.close()


@pytest.mark.parametrize("begin_s", [0.5, 0.94, 0.96, 0.98, 0.99])
def test_data_that_arrives_during_a_stall_is_read(begin_s: float) -> None:
    """Guards against an answer that is dropped as the last step ends in a stall."""
    assert uvloop.run(read_beside_stall(begin_s, is_silent=False)) == b"answer"


@pytest.mark.parametrize("begin_s", [0.5, 0.99])
def test_silence_is_found_beside_a_stall(begin_s: float) -> None:
    """Guards against a timeout that never ends on a busy machine."""
    began_s = time.monotonic()
    with pytest.raises(TimeoutError):
        uvloop.run(read_beside_stall(begin_s, is_silent=True))
    spent_s = time.monotonic() - began_s - STALL_S
    assert TIMEOUT_MS / 1_000 * 0.9 < spent_s < TIMEOUT_MS / 1_000 + MAX_LATE_S
