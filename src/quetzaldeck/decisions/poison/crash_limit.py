"""How many crashes it takes until a request is refused.

Three crashes that hit the same request are no coincidence on an ordinary day. They may
be in a series of crashes that reaches one upstream after the other: long requests that
are retried are in several of them and caused none. And copies of a frequent request may
run on all upstreams that one cause ends at the same time.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.crash import Crash, Involvement
    from quetzaldeck.decisions.poison.crash_table import CrashTable


class CrashLimit:
    """Sets the limit for each request by what else crashed at the time.

    :param bounds: thresholds
    :param table: all crashes
    :param count_upstreams: returns how many upstreams there are that may crash
    """

    def __init__(
        self,
        bounds: PoisonBounds,
        table: CrashTable,
        count_upstreams: Callable[[], int],
    ) -> None:
        self._bounds = bounds
        self._table = table
        self._count_upstreams = count_upstreams

    def find(self, fingerprint: int, n_crashes: int) -> int:
        """:returns: number of crashes at which a request is refused

        :param n_crashes: crashes that count against it now
        """
        bounds = self._bounds
        if n_crashes < bounds.n_crashes:
            return bounds.n_crashes
        own = self._table.find(fingerprint)
        if self.is_wave(own, n_crashes):
            return bounds.max_crashes
        if any(involvement.was_answered for involvement in own.values()):
            return bounds.n_crashes_answered
        return bounds.n_crashes

    def is_wave(self, own: Mapping[Crash, Involvement], n_crashes: int) -> bool:
        """:returns: whether a request, or part, may be in crashes of others by chance

        About as many upstreams crash without the request, and one of its runs is long
        enough to be hit. A request that ends an upstream within a fraction of a second
        is no bystander because some others crash as well.
        """
        times_ms = [involvement.seen_ms for involvement in own.values()]
        first_ms = min(times_ms) - self._bounds.wave_ms
        last_ms = max(times_ms) + self._bounds.wave_ms
        n_others = sum(
            crash.counts and first_ms <= crash.at_ms <= last_ms and crash not in own
            for crash in self._table.crashes
        )
        if n_others < n_crashes - 1:
            return False
        runs_ms = [involvement.run_ms for involvement in own.values()]
        known_ms = [run_ms for run_ms in runs_ms if run_ms is not None]
        if len(known_ms) < len(runs_ms):
            return True
        n_upstreams = max(1, self._count_upstreams())
        crash_rate = n_others / (n_upstreams * (last_ms - first_ms))
        return crash_rate * max(known_ms) >= self._bounds.max_chance


__all__ = ("CrashLimit",)
