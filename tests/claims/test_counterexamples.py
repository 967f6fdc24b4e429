"""Each scenario passes, and fails with the faulty variant that it is written for."""

from __future__ import annotations

import pytest
from tests.claims.faulty import faulty_fleets
from tests.claims.model import ModelFleet, UncheckedRemovalFleet
from tests.claims.scenarios import scenarios

FOUND_BY = {
    "asks_wanted_only": "changed_voter_ranking",
    "shrinks_without_majority": "shrunken_list",
    "late_replies_count": "late_replies",
    "late_win": "late_votes",
    "no_abstention": "majority_restarts",
    "no_permit_check": "pause_before_dispatch",
    "no_snapshot": "graceful_leave",
    "own_view_quorum": "new_vm_with_partial_list",
    "same_voter_id": "minority_restarts",
    "second_grant": "resend",
    "skip_superseded_sets": "divergent_voter_sets",
}


@pytest.mark.parametrize("fleet_class", [ModelFleet, UncheckedRemovalFleet])
@pytest.mark.parametrize("name", scenarios)
def test_scenario_runs_each_key_once(name: str, fleet_class: type[ModelFleet]) -> None:
    scenarios[name](fleet_class)


@pytest.mark.parametrize("name", faulty_fleets.names)
def test_scenario_finds_faulty_variant(name: str) -> None:
    """Shows that the scenarios can fail: each faulty variant runs a key twice."""
    with pytest.raises(AssertionError, match="ran more than once"):
        scenarios[FOUND_BY[name]](faulty_fleets.get(name))
