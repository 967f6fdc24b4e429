"""Time limits for polling the source and other VMs."""

from __future__ import annotations

import pytest

from quetzaldeck.belief import SharingBounds

BOUNDS = [
    SharingBounds(min_deadline_ms) for min_deadline_ms in (400.0, 2_000.0, 3_800.0)
]


@pytest.mark.parametrize("bounds", BOUNDS)
def test_watcher_stays_fresh_while_changes_arrive(
    bounds: SharingBounds,
) -> None:
    """Guards against all VMs polling the source as a watcher's answers seem old."""
    oldest_ms = bounds.max_answer_age_ms - bounds.wait_ms
    for tenth in range(11):
        changed_ms = bounds.source_wait_ms * tenth / 10
        polled_again_ms = changed_ms + bounds.batch_ms
        next_answer_ms = polled_again_ms + bounds.hold_ms(polled_again_ms)
        assert next_answer_ms <= oldest_ms


@pytest.mark.parametrize("bounds", BOUNDS)
def test_long_poll_of_an_up_to_date_watcher_has_full_length(
    bounds: SharingBounds,
) -> None:
    assert bounds.hold_ms(0.0) == bounds.source_wait_ms
    assert bounds.hold_ms(float("inf")) > 0
