"""When one VM may ask for a permit to send another request to a limited upstream."""

from __future__ import annotations

from quetzaldeck.decisions.rate_limits.bounds import interval_ms


class Pacing:
    """Keeps requests of one VM away from an upstream that takes none now.

    Load pattern: an upstream with few requests looks idle, so without pacing each
    placement would try it, and each request would wait for a refused permit.
    """

    def __init__(self) -> None:
        self._requests_per_s: float | None = None
        self._is_cold = False
        self._next_ms = float("-inf")

    @property
    def is_limited(self) -> bool:
        """:returns: whether the upstream names a limit"""
        return self._requests_per_s is not None

    @property
    def is_cold(self) -> bool:
        """:returns: whether the limit is that of a cold replica"""
        return self._is_cold

    @property
    def interval_ms(self) -> float:
        """:returns: time between two requests of all VMs; 0 without a limit"""
        rate = self._requests_per_s
        return 0.0 if rate is None else interval_ms(rate)

    def set_limit(
        self, requests_per_s: float | None, now_ms: float, *, is_cold: bool = False
    ) -> None:
        """Set the limit in force; ``None``: there is none.

        :param is_cold: whether the upstream is limited because it is cold
        """
        self._is_cold = is_cold
        if requests_per_s == self._requests_per_s:
            return
        self._requests_per_s = requests_per_s
        self._next_ms = min(self._next_ms, now_ms + self.interval_ms)

    def note_dispatch(self, now_ms: float) -> None:
        """Record that a request goes to the upstream, or asks for a permit to."""
        if self.is_limited:
            self._next_ms = max(self._next_ms, now_ms) + self.interval_ms

    def note_refused(self, wait_ms: float, now_ms: float) -> None:
        """Record that a permit was refused.

        :param wait_ms: time until the next one is free
        """
        if self.is_limited:
            self._next_ms = now_ms + wait_ms

    def wait_ms(self, now_ms: float) -> float:
        """:returns: time until the upstream is expected to take a request"""
        return max(0.0, self._next_ms - now_ms) if self.is_limited else 0.0

    def is_blocked(self, now_ms: float) -> bool:
        """:returns: whether the upstream is expected to take no request now"""
        return self._requests_per_s is not None and self._next_ms > now_ms


__all__ = ("Pacing",)
