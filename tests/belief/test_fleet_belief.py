"""Versions, ages and disappearing replicas in one VM's fleet state."""

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


def apply(
    belief: FleetBelief,
    *changes: Change,
    now_ms: float = 0.0,
    is_complete: bool = False,
) -> list[str]:
    answer = SourceAnswer(belief.revision + 1, changes, is_complete=is_complete)
    events = belief.apply(answer, asked_ms=now_ms, now_ms=now_ms)
    return [event.event for event in events]


@given(st.lists(st.integers(min_value=1, max_value=20), min_size=1))
def test_version_in_force_never_decreases(versions: list[int]) -> None:
    belief = FleetBelief(BOUNDS)
    highest = 0
    for version in versions:
        apply(belief, configure(version))
        highest = max(highest, version)
        assert belief.configuration is not None
        assert belief.configuration.version == highest


def test_age_counts_from_the_request_not_the_answer() -> None:
    """Guards against a revoked key that is accepted for too long.

    The source holds a long poll for seconds before it answers, and its answer may be as
    old as the request.
    """
    belief = FleetBelief(BOUNDS)
    belief.apply(SourceAnswer(2, (configure(1),)), asked_ms=1_000, now_ms=3_500)
    assert belief.age_ms(3_500) == 2_500


def test_full_long_poll_confirms_up_to_its_end() -> None:
    belief = FleetBelief(BOUNDS)
    belief.apply(SourceAnswer(2, (), waited_ms=1_000), asked_ms=0, now_ms=1_050)
    assert belief.age_ms(1_050) == 50


def test_long_poll_cut_short_confirms_only_its_start() -> None:
    belief = FleetBelief(BOUNDS)
    belief.apply(SourceAnswer(2, (), waited_ms=1_000), asked_ms=0, now_ms=400)
    assert belief.age_ms(400) == 400


def test_keys_are_fresh_within_the_limit_less_the_staleness_of_the_source() -> None:
    belief = FleetBelief(BOUNDS)
    assert not belief.has_fresh_keys(0)
    apply(belief, configure(1), now_ms=0)
    assert belief.has_fresh_keys(3_800)
    assert not belief.has_fresh_keys(3_801)


def test_answers_out_of_order_do_not_increase_the_age() -> None:
    belief = FleetBelief(BOUNDS)
    apply(belief, now_ms=2_000)
    belief.apply(SourceAnswer(3, ()), asked_ms=500, now_ms=2_100)
    assert belief.age_ms(2_100) == 100


def test_replica_is_removed_at_once_with_its_entry() -> None:
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica()))
    assert apply(belief, ReplicaRemoved("r1"), now_ms=10_000) == ["replica_gone"]
    assert not belief.replicas


def test_replicas_with_entries_expired_in_an_outage_stay_in_use() -> None:
    """Guards against refusing all requests for two seconds after an outage.

    While the source was down the entries of all replicas expired, although the replicas
    are healthy. The first answer lists none of them; they register again within two
    seconds.
    """
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica("r1")), ReplicaRead(make_replica("r2")))
    belief.note_trouble(10_000)
    assert apply(belief, now_ms=10_100, is_complete=True) == ["replica_lapsed"] * 2
    assert set(belief.replicas) == {"r1", "r2"}
    events = apply(belief, ReplicaRead(make_replica("r1")), now_ms=11_000)
    assert events == ["replica_returned"]
    assert not belief.expire(11_800)
    assert [event.event for event in belief.expire(11_900)] == ["replica_gone"]
    assert set(belief.replicas) == {"r1"}


def test_expired_replica_is_dropped_within_the_limit_for_leaving_ones() -> None:
    bounds = BOUNDS._replace(leaving_ms=1_000)
    belief = FleetBelief(bounds)
    apply(belief, ReplicaRead(make_replica()))
    belief.note_trouble(5_000)
    apply(belief, ReplicaRemoved("r1"), now_ms=5_000)
    assert belief.expire(5_800)


def test_late_update_does_not_extend_the_grace_period() -> None:
    """Guards against sending requests to a replica for too long after it left.

    The replica's entry is removed at 200 ms. The VM that this one polls has lost the
    source. This VM notices that by the age of the answers, polls the source itself at
    1,300 ms and, because of the trouble, takes the entry for expired. A grace period
    counted from then on would last until 3,100 ms.
    """
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica()), now_ms=100)
    belief.note_trouble(1_200)
    assert apply(belief, ReplicaRemoved("r1"), now_ms=1_300) == ["replica_lapsed"]
    removed_ms = 200
    last_ms = removed_ms + BOUNDS.leaving_ms - BOUNDS.margin_ms
    assert belief.expire(last_ms)
    assert not belief.replicas


def test_entry_missing_for_nearly_the_limit_gets_no_grace_period() -> None:
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica()), now_ms=100)
    belief.note_trouble(1_900)
    assert apply(belief, ReplicaRemoved("r1"), now_ms=1_950) == ["replica_gone"]


def test_leaving_replica_gets_no_grace_period() -> None:
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica(is_leaving=True)))
    belief.note_trouble(1_000)
    assert apply(belief, ReplicaRemoved("r1"), now_ms=1_000) == ["replica_gone"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_replica_with_an_undecodable_entry_is_removed(*, is_complete: bool) -> None:
    """Guards against sending requests to a replica that has announced its leave.

    Another program overwrites the replica's entry with undecodable bytes, and the
    replica starts to leave. If the last decodable entry stayed in force, the VM would
    not notice that.
    """
    belief = FleetBelief(BOUNDS)
    others = ReplicaRead(make_replica("r2"))
    apply(belief, ReplicaRead(make_replica()), others, configure(1))
    belief.note_trouble(9_900)
    change = UndecodableEntry("servers/r1", "no address", "r1")
    events = apply(belief, change, others, now_ms=10_000, is_complete=is_complete)
    assert events == ["entry_undecodable"]
    assert set(belief.replicas) == {"r2"}
    assert not belief.n_lapsed
    assert apply(belief, ReplicaRead(make_replica())) == ["replica_added"]


def test_undecodable_configuration_leaves_the_one_in_force() -> None:
    belief = FleetBelief(BOUNDS)
    apply(belief, configure(1), ReplicaRead(make_replica()))
    change = UndecodableEntry("op/config", "no version")
    assert apply(belief, change) == ["entry_undecodable"]
    assert belief.configuration is not None
    assert set(belief.replicas) == {"r1"}


def test_late_entry_of_an_earlier_incarnation_is_ignored() -> None:
    """Guards against a healthy, restarted replica that gets no requests.

    The replica announced that it leaves, crashed, and restarted under the same id. The
    last entry of its earlier incarnation reaches the source after the entry of the new
    one.
    """
    belief = FleetBelief(BOUNDS)
    first = make_replica()._replace(started_ms=1_000)
    again = first._replace(started_ms=5_000)
    assert apply(belief, ReplicaRead(first)) == ["replica_added"]
    assert apply(belief, ReplicaRead(again)) == ["replica_restarted"]
    late = first._replace(is_leaving=True)
    assert apply(belief, ReplicaRead(late)) == ["replica_older"]
    assert belief.replicas["r1"] == again
    leaving = again._replace(is_leaving=True)
    assert apply(belief, ReplicaRead(leaving)) == ["replica_changed"]


@pytest.mark.parametrize("is_complete", [True, False])
def test_answer_without_changes_has_no_events(*, is_complete: bool) -> None:
    belief = FleetBelief(BOUNDS)
    changes = (configure(3), ReplicaRead(make_replica()))
    apply(belief, *changes)
    assert apply(belief, *changes, is_complete=is_complete) == []


def test_replica_that_starts_at_the_address_of_another_replaces_it() -> None:
    """Guards against requests for replicas that have restarted with new ids.

    The entry of the earlier one expires seconds later; a late write of it is ignored.
    """
    belief = FleetBelief(BOUNDS)
    first = make_replica("r1")._replace(started_ms=1_000)
    second = make_replica("r2")._replace(started_ms=5_000)
    apply(belief, ReplicaRead(first))
    assert apply(belief, ReplicaRead(second)) == ["replica_added"]
    assert list(belief.replicas) == ["r2"]
    assert apply(belief, ReplicaRead(first)) == ["replica_older"]
    assert apply(belief, ReplicaRemoved("r1")) == []
    assert list(belief.replicas) == ["r2"]


@pytest.mark.parametrize(
    "entry",
    [
        make_replica("r2"),
        make_replica("r2")._replace(started_ms=5_000, service="unknown"),
        make_replica("r2")._replace(started_ms=5_000, address="10.0.0.2:80"),
    ],
)
def test_replica_stays_beside_an_entry_that_does_not_prove_its_end(
    entry: Replica,
) -> None:
    """Guards against an entry of another writer that removes a sound replica."""
    belief = FleetBelief(BOUNDS)
    apply(belief, ReplicaRead(make_replica("r1")._replace(started_ms=1_000)))
    apply(belief, ReplicaRead(entry))
    assert "r1" in belief.replicas
