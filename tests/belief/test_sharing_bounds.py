"""Times of asking the source and of telling each other."""

from __future__ import annotations

import pytest

from quetzaldeck.belief import SharingBounds

BOUNDS = [
    SharingBounds(min_deadline_ms) for min_deadline_ms in (400.0, 2_000.0, 3_800.0)
]


@pytest.mark.parametrize("bounds", BOUNDS)
def test_watcher_does_not_seem_to_have_lost_the_source_while_changes_come(
    bounds: SharingBounds,
) -> None:
    """Guards against a call of each VM, since a healthy watcher tells old news."""
    oldest_ms = bounds.max_answer_age_ms - bounds.wait_ms
    for tenth in range(11):
        changed_ms = bounds.source_wait_ms * tenth / 10
        asked_again_ms = changed_ms + bounds.batch_ms
        next_answer_ms = asked_again_ms + bounds.hold_ms(asked_again_ms)
        assert next_answer_ms <= oldest_ms


@pytest.mark.parametrize("bounds", BOUNDS)
def test_question_of_a_watcher_that_knows_the_latest_is_held_for_long(
    bounds: SharingBounds,
) -> None:
    assert bounds.hold_ms(0.0) == bounds.source_wait_ms
    assert bounds.hold_ms(float("inf")) > 0
