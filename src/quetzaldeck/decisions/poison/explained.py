"""Suspects whose crashes are explained by a request that is refused.

Failure scenario: a request ends all upstreams one after the other, and they fall
silent. Sound requests that ran beside it wait until it is known how each of their runs
ended, which takes seconds for a silent upstream, although sound ones are idle.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.poison.bounds import PoisonBounds
    from quetzaldeck.decisions.poison.verdicts import CrashVerdicts


class ExplainedSuspects:
    """Remembers since when the crashes of suspects have been explained.

    :param bounds: limit of number
    :param verdicts: judges requests
    """

    def __init__(self, bounds: PoisonBounds, verdicts: CrashVerdicts) -> None:
        self._bounds = bounds
        self._verdicts = verdicts
        self._since_ms: dict[int, float] = {}

    def find_since_ms(self, fingerprint: int, now_ms: float) -> float:
        """Find since when the outcome of a suspect's runs tells whether it does harm.

        What was sent before may have run beside the refused request: if its upstream
        has ended as well, nothing is known from it.

        :returns: the time; minus infinity if nothing explains its crashes
        """
        if not self._verdicts.is_explained(fingerprint, now_ms):
            return -math.inf
        since_ms = self._since_ms.get(fingerprint)
        if since_ms is None:
            if len(self._since_ms) >= self._bounds.max_fingerprints:
                self._since_ms.clear()
            since_ms = self._since_ms[fingerprint] = now_ms
        return since_ms

    def forget(self, fingerprint: int) -> None:
        """Forget a request that was cleared."""
        self._since_ms.pop(fingerprint, None)


__all__ = ("ExplainedSuspects",)
