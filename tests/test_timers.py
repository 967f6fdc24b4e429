"""Timers of the event loop that the programs run in."""

from __future__ import annotations

import asyncio
from random import Random

import uvloop

from quetzaldeck.clock import Clock
from quetzaldeck.clock.clock import round_timer_s

N_WAITS = 3
"""The timer, and two for the whole milliseconds in which the loop reads the time."""


def test_who_waits_until_it_is_due_is_not_woken_over_and_over() -> None:
    """Guards against a timer that fires early, and is set again for no time at all."""
    random_state = Random(0)
    clock = Clock()

    async def count_waits(delay_ms: float) -> int:
        due_ms = clock.now_ms() + delay_ms
        n_waits = 0
        while (wait_ms := due_ms - clock.now_ms()) > 0:
            await asyncio.sleep(round_timer_s(wait_ms))
            n_waits += 1
        return n_waits

    async def run() -> int:
        delays_ms = [random_state.uniform(2.0, 8.0) for _ in range(200)]
        return max([await count_waits(delay_ms) for delay_ms in delays_ms])

    assert uvloop.run(run()) <= N_WAITS


__all__: tuple[str, ...] = ()
