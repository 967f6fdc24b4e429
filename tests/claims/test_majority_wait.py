"""Voters that are late, beside one that was restarted."""

from __future__ import annotations

import pytest
from tests.claims.model import make_settled_fleet

from quetzaldeck.claims.voter_rounds import MAX_MAJORITY_WAIT_MS

ROUND_MS = 50.0
N_ROUNDS = 40


@pytest.mark.parametrize(
    ("pause_ms", "is_lost"), [(0.0, False), (MAX_MAJORITY_WAIT_MS, True)]
)
def test_late_voter_is_not_counted_as_lost(pause_ms: float, *, is_lost: bool) -> None:
    """Bookings were refused for a window after voters were late for one second.

    Rounds follow each other quickly while voter sets change. Twenty of them counted
    as a lost majority, after which voters abstain from all earlier keys.
    """
    fleet = make_settled_fleet(["1", "2", "3"])
    key = fleet.make_key("booking", is_timed=True)
    fleet.partition(["1", "3"], ["2"])
    fleet.stop("3")
    fleet.start("3")
    for _ in range(N_ROUNDS):
        fleet.clock.advance(ROUND_MS)
        fleet.sync_all(listed=["1", "2", "3"], n_rounds=1)
    fleet.clock.advance(pause_ms)
    fleet.sync_all(listed=["1", "2", "3"])
    fleet.partition(["1", "2", "3"])
    fleet.sync_all()
    assert fleet.call("1", key) is not is_lost
