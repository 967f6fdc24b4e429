"""Waiting for conditions on a fleet."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

WAIT_S = 30.0
POLL_S = 0.01


async def wait_for(condition: Callable[[], bool], *, timeout_s: float = WAIT_S) -> None:
    """Wait until ``condition`` holds.

    :raises TimeoutError: if it does not hold in time
    """
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(POLL_S)


__all__ = ("wait_for",)
