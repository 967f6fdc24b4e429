"""Changes of a VM's wall clock while it serves requests."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.replica import event
from tests.support.platform.site import BOOK_PATH, LOOK_PATH, PLAN_PATH, Site, run_site

from quetzaldeck.clock import Clock

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection

HOUR_MS = 3_600_000.0
JUMPS_MS = (HOUR_MS, -HOUR_MS, 0.0, -400 * 24 * HOUR_MS)


async def answer_stream(arrival: Arrival, connection: Connection) -> None:
    """Respond with two events, some time apart."""
    await connection.begin_stream(arrival)
    await connection.send_chunk(event(1))
    await asyncio.sleep(0.05)
    await connection.send_chunk(event(2))
    await connection.end_stream()


class JumpingClock(Clock):
    """A clock whose wall time can be shifted; its monotonic time is unaffected."""

    def __init__(self) -> None:
        self.offset_ms = 0.0

    def wall_ms(self) -> float:
        """:returns: the wall time plus the current offset"""
        return super().wall_ms() + self.offset_ms


def test_wall_clock_changes_do_not_affect_callers() -> None:
    """Guards against VMs that reject keys or abort requests when the clock is set.

    The wall clock is set forward and back while requests run. Deadlines and the age of
    the fleet state use monotonic clocks, so callers notice nothing.
    """
    clock = JumpingClock()

    async def test(site: Site) -> None:
        state = site.entry.session.state
        for offset_ms in JUMPS_MS:
            running = [
                asyncio.create_task(site.call(path))
                for path in (PLAN_PATH, BOOK_PATH, LOOK_PATH) * 3
            ]
            await asyncio.sleep(0.02)
            clock.offset_ms = offset_ms
            statuses = {answer.status for answer in await asyncio.gather(*running)}
            assert statuses == {200}
            assert state.is_ready
            assert (await site.call(LOOK_PATH)).status == 200

    run_site(test, clock=clock, engines=(answer_stream,))
