"""Stand-in for the store of model weights, which limits the rate of loads."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock

MS_PER_MINUTE = 60_000.0


class WeightStoreLimitError(Exception):
    """The store refused a load: the limit for the last minute is reached."""


class WeightStoreStandin:
    """A weight store shared by the engines of a fleet; counts its loads and refusals.

    :param loads_per_minute: loads allowed within any period of one minute
    :param load_ms: time to fetch the weights of one load
    """

    def __init__(
        self, clock: Clock, *, loads_per_minute: float = 60.0, load_ms: float = 50.0
    ) -> None:
        self._clock = clock
        self._loads_per_minute = loads_per_minute
        self._load_ms = load_ms
        self._load_times_ms: deque[float] = deque()
        self.n_loads = 0
        self.n_refused = 0

    def check_limit(self) -> None:
        """Count a load that starts now against the limit.

        :raises WeightStoreLimitError: if the limit is reached
        """
        now_ms = self._clock.now_ms()
        while self._load_times_ms and now_ms - self._load_times_ms[0] >= MS_PER_MINUTE:
            self._load_times_ms.popleft()
        if len(self._load_times_ms) >= self._loads_per_minute:
            self.n_refused += 1
            msg = (
                f"limit of {self._loads_per_minute:g} loads a minute reached; try later"
            )
            raise WeightStoreLimitError(msg)
        self._load_times_ms.append(now_ms)
        self.n_loads += 1

    async def fetch(self) -> None:
        """Wait until the weights are fetched."""
        await asyncio.sleep(self._load_ms / 1_000)


__all__ = ("WeightStoreLimitError", "WeightStoreStandin")
