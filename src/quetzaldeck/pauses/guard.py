"""Detects that a process was paused between a decision and its effect."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.clock import Clock


class DecisionTime(NamedTuple):
    """Time of a decision by the monotonic and the wall clock, in milliseconds."""

    monotonic_ms: float
    wall_ms: float


class PauseError(Exception):
    """A decision is too old to act on and must be made again.

    :param elapsed_ms: time since the decision
    """

    def __init__(self, elapsed_ms: float, max_ms: float) -> None:
        super().__init__(
            f"{elapsed_ms:.0f} ms have passed since the decision, more than "
            f"{max_ms:.0f}; decide again with current data"
        )
        self._elapsed_ms = elapsed_ms

    @property
    def elapsed_ms(self) -> float:
        """:returns: time since the decision"""
        return self._elapsed_ms


class PauseGuard:
    """Rejects decisions that became too old before they took effect.

    A process that is stopped, swapped out or migrated to another machine resumes
    where it was paused: it would send a command that another VM has superseded, or
    run a call whose claim has expired. Most receivers cannot detect that, so the
    process checks the clock itself as the last step before the effect. A pause
    between the check and the effect goes undetected; the margin of a lease has to
    cover it.

    The monotonic clock stops while a whole VM is suspended and the wall clock does
    not, so the larger of the two differences counts. A wall clock that is set forward
    looks like a pause; the decision is then made again, which is harmless.

    :param max_pause_ms: age from which a decision is rejected
    :param on_pause: called with the length of each detected pause
    """

    def __init__(
        self,
        clock: Clock,
        *,
        max_pause_ms: float,
        on_pause: Callable[[float], None] | None = None,
    ) -> None:
        self._clock = clock
        self._max_pause_ms = max_pause_ms
        self._on_pause = on_pause

    def begin(self) -> DecisionTime:
        """:returns: the time of a decision, to be checked before its effect"""
        return DecisionTime(self._clock.now_ms(), self._clock.wall_ms())

    def elapsed_ms(self, since: DecisionTime) -> float:
        """:returns: time since a decision, suspensions of the VM included"""
        return max(
            self._clock.now_ms() - since.monotonic_ms,
            self._clock.wall_ms() - since.wall_ms,
        )

    def check(self, since: DecisionTime, *, max_ms: float | None = None) -> None:
        """Check that a decision may still take effect.

        :param max_ms: age from which it is rejected; ``max_pause_ms`` if not given
        :raises PauseError: if it is too old
        """
        max_ms = self._max_pause_ms if max_ms is None else max_ms
        elapsed_ms = self.elapsed_ms(since)
        if elapsed_ms < max_ms:
            return
        if self._on_pause is not None:
            self._on_pause(elapsed_ms)
        raise PauseError(elapsed_ms, max_ms)


__all__ = ("DecisionTime", "PauseError", "PauseGuard")
