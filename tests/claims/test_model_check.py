"""Random histories keep the guarantees; ``make soak-claims`` runs many more."""

from __future__ import annotations

import pytest
from tests.claims.faulty import faulty_fleets
from tests.claims.model import ModelFleet, UncheckedRemovalFleet
from tests.claims.model_check import check_fleet

EASILY_FOUND = ("late_win", "second_grant")


@pytest.mark.parametrize("fleet_class", [ModelFleet, UncheckedRemovalFleet])
def test_check_fleet_finds_no_fault(fleet_class: type[ModelFleet]) -> None:
    check_fleet(fleet_class, n_examples=100, n_steps=40)


@pytest.mark.parametrize("name", EASILY_FOUND)
def test_check_fleet_finds_faulty_variant(name: str) -> None:
    """Shows that the search can fail; rarer faults are left to ``make soak-claims``."""
    with pytest.raises(AssertionError):
        check_fleet(faulty_fleets.get(name), n_examples=1_500, n_steps=40)
