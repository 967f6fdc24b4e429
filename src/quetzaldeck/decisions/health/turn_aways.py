"""Upstreams that turn requests away although they run few.

Failure scenario: one of fourteen engines refuses every request at once, without saying
for how long. It runs nothing, so it has the least work of all and is chosen for each
request of every VM; the resends use up the budget of the service, and requests are
refused while the other engines have room.

Each refusal in a row doubles the time for which others are preferred. An upstream at
capacity refuses as well, and takes requests again as soon as one ends: it is not
avoided.
"""

from __future__ import annotations

FULL_LOAD_SHARE = 0.5
"""Share of an upstream's slots known to be in use from which on a refusal counts as
overload. It is less than 1 since this VM does not know yet what others have just sent.
"""

FIRST_HOLD_MS = 250.0
MAX_HOLD_MS = 1_000.0
"""Bounds of the time for which others are preferred: an upstream that has recovered is
used again within a second."""


class TurnAways:
    """The refusals of one upstream, as seen by this VM."""

    def __init__(self) -> None:
        self._n_in_row = 0
        self._refused_ms = float("-inf")
        self._until_ms = float("-inf")

    def note_refused(self, n_requests: int, max_requests: int, now_ms: float) -> None:
        """Record that a request was turned away.

        :param n_requests: other requests at the upstream, as far as is known
        :param max_requests: requests that it runs at a time
        """
        if n_requests >= FULL_LOAD_SHARE * max_requests:
            return
        hold_ms = min(MAX_HOLD_MS, FIRST_HOLD_MS * 2**self._n_in_row)
        self._n_in_row += hold_ms < MAX_HOLD_MS
        self._refused_ms = now_ms
        self._until_ms = now_ms + hold_ms

    def note_accepted(self, sent_ms: float) -> None:
        """Record that a request was accepted; an earlier one ends no row of refusals.

        :param sent_ms: when it was sent
        """
        if sent_ms >= self._refused_ms:
            self._n_in_row = 0

    def is_refusing(self, now_ms: float) -> bool:
        """:returns: whether other upstreams are preferred"""
        return now_ms < self._until_ms


__all__ = ("FIRST_HOLD_MS", "MAX_HOLD_MS", "TurnAways")
