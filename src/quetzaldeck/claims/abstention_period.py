"""The time for which a voter may have forgotten claims."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims.messages import LostGrants

if TYPE_CHECKING:
    from quetzaldeck.claims.settings import ClaimSettings
    from quetzaldeck.clock import Clock


class AbstentionPeriod:
    """Knows which keys a voter may have granted and forgotten.

    After a loss of memory a key may have been granted by what is gone; a second grant
    would run the call twice. So the voter abstains from it until the window in which
    the key may be sent again has passed.
    """

    def __init__(self, clock: Clock, settings: ClaimSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._since_wall_ms: float | None = None
        self._until_ms = 0.0

    @property
    def current(self) -> LostGrants | None:
        """:returns: since when and for how long memory is lost; ``None``: it is not"""
        remaining_ms = self._until_ms - self._clock.now_ms()
        if self._since_wall_ms is None or remaining_ms <= 0:
            return None
        return LostGrants(self._since_wall_ms, remaining_ms)

    @property
    def is_over_for_new_keys(self) -> bool:
        """:returns: whether a key that carries the time of now was made after it"""
        lost_grants = self.current
        if lost_grants is None:
            return True
        blind_ms = lost_grants.before_wall_ms + 2 * self._settings.max_clock_skew_ms
        return self._clock.wall_ms() > blind_ms

    def begin(self) -> None:
        """Note that what was granted until now may be forgotten."""
        self.extend(self._clock.wall_ms(), self._settings.window_ms)

    def extend(self, before_wall_ms: float, remaining_ms: float) -> None:
        """Take over a loss of memory that another voter knows of."""
        known = self._since_wall_ms
        self._since_wall_ms = (
            before_wall_ms if known is None else max(known, before_wall_ms)
        )
        self._until_ms = max(self._until_ms, self._clock.now_ms() + remaining_ms)

    def remaining_ms(self, created_ms: float | None) -> float:
        """Tell how long the voter has to abstain from a key.

        A key that was made after the loss cannot have been granted before, so it need
        not wait. A time from the future proves nothing.

        :param created_ms: wall time that the key carries; ``None``: it has none
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
