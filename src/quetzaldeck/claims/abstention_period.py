"""The time for which a voter abstains because it may have lost grants."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import LostGrants

if TYPE_CHECKING:
    from quetzaldeck.claims.settings import ClaimSettings
    from quetzaldeck.clock import Clock


class AbstentionPeriod:
    """Decides on which keys a voter must abstain after it has lost its claims.

    A key that the voter granted before the loss must not be granted again, or the call
    could run twice. So the voter abstains on every key that it may have granted, until
    the window in which callers may resend the key has passed.
    """

    def __init__(self, clock: Clock, settings: ClaimSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._before_wall_ms: float | None = None
        self._until_ms = 0.0

    @property
    def current(self) -> LostGrants | None:
        """:returns: the grants that may be lost; ``None`` if none are"""
        remaining_ms = self._until_ms - self._clock.now_ms()
        if self._before_wall_ms is None or remaining_ms <= 0:
            return None
        return LostGrants(self._before_wall_ms, remaining_ms)

    @property
    def is_over_for_new_keys(self) -> bool:
        """:returns: whether the voter may vote on a timed key that is created now"""
        lost_grants = self.current
        if lost_grants is None:
            return True
        safe_after_ms = (
            lost_grants.before_wall_ms + 2 * self._settings.max_clock_skew_ms
        )
        return self._clock.wall_ms() > safe_after_ms

    def begin(self) -> None:
        """Start the period: any grant made until now may be lost."""
        self.extend(self._clock.wall_ms(), self._settings.window_ms)

    def extend(self, before_wall_ms: float, remaining_ms: float) -> None:
        """Include the lost grants that another voter reports."""
        known = self._before_wall_ms
        self._before_wall_ms = (
            before_wall_ms if known is None else max(known, before_wall_ms)
        )
        self._until_ms = max(self._until_ms, self._clock.now_ms() + remaining_ms)

    def remaining_ms(self, created_ms: float | None) -> float:
        """Return how long the voter must abstain from a key.

        A key created after the loss cannot have been granted before it, so the voter
        may vote at once. A creation time in the future proves nothing.

        :param created_ms: wall time in the key; ``None`` if it has none
        """
        lost_grants = self.current
        if lost_grants is None:
            return 0.0
        skew_ms = self._settings.max_clock_skew_ms
        if created_ms is None or created_ms > self._clock.wall_ms() + skew_ms:
            return lost_grants.remaining_ms
        if created_ms > lost_grants.before_wall_ms + skew_ms:
            return 0.0
        return lost_grants.remaining_ms


__all__ = ("AbstentionPeriod",)
