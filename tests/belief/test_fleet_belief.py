"""Versions, ages and disappearing replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.belief import (
    BeliefBounds,
    ConfigurationRead,
    FleetBelief,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
    UndecodableEntry,
)
from quetzaldeck.routing import Replica, RoutingConfiguration

if TYPE_CHECKING:
    from quetzaldeck.belief import Change

BOUNDS = BeliefBounds(
    key_revocation_ms=5_000, leaving_ms=2_000, source_staleness_ms=1_000, margin_ms=200
)


def make_replica(replica_id: str = "r1", *, is_leaving: bool = False) -> Replica:
    return Replica(replica_id, "plans", "10.0.0.1:80", "a", is_leaving, 8)


def configure(version: int) -> ConfigurationRead:
    return ConfigurationRead(RoutingConfiguration(version, (), {}))


def take(
    belief: FleetBelief,
    *changes: Change,
    now_ms: float = 0.0,
    is_complete: bool = False,
) -> list[str]:
    reading = SourceAnswer(belief.revision + 1, changes, is_complete=is_complete)
    notes = belief.take(reading, asked_ms=now_ms, now_ms=now_ms)
    return [note.event for note in notes]


@given(st.lists(st.integers(min_value=1, max_value=20), min_size=1))
def test_version_in_force_only_grows(versions: list[int]) -> None:
    belief = FleetBelief(BOUNDS)
    highest = 0
    for version in versions:
        take(belief, configure(version))
        highest = max(highest, version)
        assert belief.configuration is not None
        assert belief.configuration.version == highest


def test_age_is_of_the_question_not_of_the_answer() -> None:
    """A key that was taken away opens for longer than a revocation may take.

    The source holds a question for seconds before it answers; what it says may be as
    old as the question, not as the answer.
    """
    belief = FleetBelief(BOUNDS)
    belief.take(SourceAnswer(2, (configure(1),)), asked_ms=1_000, now_ms=3_500)
    assert belief.age_ms(3_500) == 2_500


def test_question_that_was_held_confirms_up_to_its_end() -> None:
    belief = FleetBelief(BOUNDS)
    belief.take(SourceAnswer(2, (), waited_ms=1_000), asked_ms=0, now_ms=1_050)
    assert belief.age_ms(1_050) == 50


def test_question_that_was_cut_short_confirms_only_its_begin() -> None:
    belief = FleetBelief(BOUNDS)
    belief.take(SourceAnswer(2, (), waited_ms=1_000), asked_ms=0, now_ms=400)
    assert belief.age_ms(400) == 400


def test_keys_are_believed_within_the_bound_less_what_the_source_may_hide() -> None:
    belief = FleetBelief(BOUNDS)
    assert not belief.has_fresh_keys(0)
    take(belief, configure(1), now_ms=0)
    assert belief.has_fresh_keys(3_800)
    assert not belief.has_fresh_keys(3_801)


def test_answers_that_arrive_out_of_order_do_not_make_belief_older() -> None:
    belief = FleetBelief(BOUNDS)
    take(belief, now_ms=2_000)
    belief.take(SourceAnswer(3, ()), asked_ms=500, now_ms=2_100)
    assert belief.age_ms(2_100) == 100


def test_replica_whose_entry_disappears_is_gone_at_once() -> None:
    belief = FleetBelief(BOUNDS)
    take(belief, ReplicaRead(make_replica()))
    assert take(belief, ReplicaRemoved("r1"), now_ms=10_000) == ["replica_gone"]
    assert not belief.replicas


def test_replicas_whose_entries_lapsed_in_an_outage_are_used_until_they_return() -> (
    None
):
    """Every caller is refused for two seconds after the store was down.

    While it was down the entries of all replicas ran out, though all are well. The
    first reading lists none of them; they come back within two seconds.
    """
    belief = FleetBelief(BOUNDS)
    take(belief, ReplicaRead(make_replica("r1")), ReplicaRead(make_replica("r2")))
    belief.note_trouble(10_000)
    assert take(belief, now_ms=10_100, is_complete=True) == ["replica_lapsed"] * 2
    assert set(belief.replicas) == {"r1", "r2"}
    events = take(belief, ReplicaRead(make_replica("r1")), now_ms=11_000)
    assert events == ["replica_returned"]
    assert not belief.expire(11_800)
    assert [note.event for note in belief.expire(11_900)] == ["replica_gone"]
    assert set(belief.replicas) == {"r1"}


def test_lapsed_replica_is_dropped_before_a_leaving_one_would_have_to_be() -> None:
    bounds = BOUNDS._replace(leaving_ms=1_000)
    belief = FleetBelief(bounds)
    take(belief, ReplicaRead(make_replica()))
    belief.note_trouble(5_000)
    take(belief, ReplicaRemoved("r1"), now_ms=5_000)
    assert belief.expire(5_800)


def test_delay_of_the_news_is_not_added_to_the_time_of_a_lapse() -> None:
    """A replica that left gets work for longer than the operators promise.

    Its entry is removed at 200. The VM that this one asks has lost the source, which
    this one notices by the age of what it is told; it asks the source itself at 1,300.
    Having had trouble it takes the entry for a lapse, and used the replica until 3,100.
    """
    belief = FleetBelief(BOUNDS)
    take(belief, ReplicaRead(make_replica()), now_ms=100)
    belief.note_trouble(1_200)
    assert take(belief, ReplicaRemoved("r1"), now_ms=1_300) == ["replica_lapsed"]
    removed_ms = 200
    last_ms = removed_ms + BOUNDS.leaving_ms - BOUNDS.margin_ms
    assert belief.expire(last_ms)
    assert not belief.replicas


def test_entry_that_went_nearly_a_bound_ago_is_no_lapse_any_more() -> None:
    belief = FleetBelief(BOUNDS)
    take(belief, ReplicaRead(make_replica()), now_ms=100)
    belief.note_trouble(1_900)
    assert take(belief, ReplicaRemoved("r1"), now_ms=1_950) == ["replica_gone"]


def test_leaving_replica_does_not_outlive_its_entry() -> None:
    belief = FleetBelief(BOUNDS)
    take(belief, ReplicaRead(make_replica(is_leaving=True)))
    belief.note_trouble(1_000)
    assert take(belief, ReplicaRemoved("r1"), now_ms=1_000) == ["replica_gone"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_replica_whose_entry_cannot_be_read_gets_no_work(*, is_complete: bool) -> None:
    """Requests go on to a replica that says that it leaves.

    Another writer puts bytes over its entry that nobody can read, the replica begins to
    leave, and what was believed of it before would stay in force.
    """
    belief = FleetBelief(BOUNDS)
    others = ReplicaRead(make_replica("r2"))
    take(belief, ReplicaRead(make_replica()), others, configure(1))
    belief.note_trouble(9_900)
    change = UndecodableEntry("servers/r1", "no address", "r1")
    events = take(belief, change, others, now_ms=10_000, is_complete=is_complete)
    assert events == ["entry_undecodable"]
    assert set(belief.replicas) == {"r2"}
    assert not belief.n_lapsed
    assert take(belief, ReplicaRead(make_replica())) == ["replica_added"]


def test_configuration_that_cannot_be_read_leaves_the_one_in_force() -> None:
    belief = FleetBelief(BOUNDS)
    take(belief, configure(1), ReplicaRead(make_replica()))
    change = UndecodableEntry("op/config", "no version")
    assert take(belief, change) == ["entry_undecodable"]
    assert belief.configuration is not None
    assert set(belief.replicas) == {"r1"}


def test_late_word_of_an_earlier_start_does_not_count() -> None:
    """A replica that has just started gets no work, though it is well.

    It said that it leaves, crashed, and started again under its id. What its former
    start wrote last reaches the source after the entry of the new one.
    """
    belief = FleetBelief(BOUNDS)
    first = make_replica()._replace(started_ms=1_000)
    again = first._replace(started_ms=5_000)
    assert take(belief, ReplicaRead(first)) == ["replica_added"]
    assert take(belief, ReplicaRead(again)) == ["replica_restarted"]
    late = first._replace(is_leaving=True)
    assert take(belief, ReplicaRead(late)) == ["replica_older"]
    assert belief.replicas["r1"] == again
    leaving = again._replace(is_leaving=True)
    assert take(belief, ReplicaRead(leaving)) == ["replica_changed"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_reading_without_news_says_nothing(*, is_complete: bool) -> None:
    belief = FleetBelief(BOUNDS)
    changes = (configure(3), ReplicaRead(make_replica()))
    take(belief, *changes)
    assert take(belief, *changes, is_complete=is_complete) == []
