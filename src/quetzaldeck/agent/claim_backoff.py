"""Waits between the rounds of votes of one claim request."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from quetzaldeck.claims import ClaimSettings, VoteTally
    from quetzaldeck.clock import Clock

MAX_ROUNDS = 4
"""Lost rounds per claim request: competitors rarely split the votes in all four."""
BACKOFF_MS = 40.0
"""Longest wait after a lost round: tens of one-way latencies between zones."""
RETRY_AFTER_MS = 1_000.0
"""Retry delay without a majority: voters synchronise twice within it."""
MAX_JOIN_WAIT_MS = RETRY_AFTER_MS
"""Longest wait for voters that are joining a voter set.

A caller that was refused instead would not return earlier.
"""
JOIN_ROUND_MS = 100.0
"""Wait between two rounds while voters are joining: some rounds in a sync interval, and
few enough that the votes of all waiting claims do not delay the voters further."""


class ClaimBackoff:
    """Decides whether and when to hold another round.

    Rounds without a majority because voters are just joining a voter set are repeated
    until they may vote. Rounds lost to other claimants are repeated a few times.

    :param deadline_ms: monotonic time of the call's deadline
    """

    def __init__(
        self,
        clock: Clock,
        settings: ClaimSettings,
        random_state: random.Random,
        deadline_ms: float,
    ) -> None:
        self._clock = clock
        self._sync_interval_ms = settings.sync_interval_ms
        self._random_state = random_state
        self._deadline_ms = deadline_ms
        self._join_until_ms = clock.now_ms() + MAX_JOIN_WAIT_MS
        self._n_lost = 0

    def next_wait_ms(self, tally: VoteTally) -> float | None:
        """:returns: wait before the next round, ``None`` if it would be futile

        :param tally: votes of the round that was not won
        """
        is_abstaining = not tally.holders and tally.retry_after_ms > 0
        if is_abstaining and tally.retry_after_ms > self._sync_interval_ms:
            return None
        now_ms = self._clock.now_ms()
        if is_abstaining and now_ms < self._join_until_ms:
            wait_ms = JOIN_ROUND_MS
        else:
            self._n_lost += 1
            # Random, because two claimants that split the votes and retry at the same
            # time would split them again.
            wait_ms = self._random_state.uniform(0.2, 1) * BACKOFF_MS
        has_time = now_ms + wait_ms < self._deadline_ms
        return wait_ms if has_time and self._n_lost < MAX_ROUNDS else None


__all__ = ("RETRY_AFTER_MS", "ClaimBackoff")
