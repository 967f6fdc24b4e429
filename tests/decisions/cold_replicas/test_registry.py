"""Claims that replicas are cold, from sources that disagree."""

from __future__ import annotations

import pytest

from quetzaldeck.decisions.cold_replicas import (
    ColdReplicas,
    ColdSource,
    compute_cold_rate,
)

ENTRY_DELAY_MS = 2_000.0
NOW_MS = 10_000.0


def build_registry(incarnation: str = "100") -> ColdReplicas:
    """:returns: a registry that knows one replica"""
    registry = ColdReplicas(ENTRY_DELAY_MS)
    registry.apply_incarnations({"e0": incarnation}, NOW_MS)
    return registry


def is_cold(registry: ColdReplicas, after_ms: float) -> bool:
    """:returns: whether the replica is cold some time after ``NOW_MS``"""
    return registry.find("e0", NOW_MS + after_ms) is not None


@pytest.mark.parametrize("source", list(ColdSource))
def test_claim_ends_by_itself(source: ColdSource) -> None:
    """A replica is limited for ever if nothing says that it is warm."""
    registry = build_registry()
    assert registry.note("e0", "100", source, 3_000.0, NOW_MS)
    assert is_cold(registry, 2_999.0)
    assert not is_cold(registry, 3_000.0)


@pytest.mark.parametrize("source", [s for s in ColdSource if s != "entry"])
def test_entry_that_says_warm_does_not_end_a_claim_of_another_source(
    source: ColdSource,
) -> None:
    """An entry written before the replica became cold again lifts the limit."""
    registry = build_registry()
    registry.note("e0", "100", source, 3_000.0, NOW_MS)
    registry.note("e0", "100", ColdSource.ENTRY, 0.0, NOW_MS + 1.0)
    assert is_cold(registry, 2_000.0)


def test_later_entry_ends_the_claim_of_an_earlier_one() -> None:
    """A limit outlasts the entry that names it."""
    registry = build_registry()
    registry.note("e0", "100", ColdSource.ENTRY, 3_000.0, NOW_MS)
    assert registry.note("e0", "100", ColdSource.ENTRY, 0.0, NOW_MS + 1.0)
    assert not is_cold(registry, 2.0)


def test_earlier_incarnation_says_nothing_of_the_next_one() -> None:
    """Guards against late messages on a replica that has restarted under its id."""
    registry = build_registry("200")
    assert not registry.note("e0", "100", ColdSource.PEER, 3_000.0, NOW_MS)
    registry.note("e0", "200", ColdSource.HEADER, 30_000.0, NOW_MS)
    registry.apply_incarnations({"e0": "300"}, NOW_MS + ENTRY_DELAY_MS + 1.0)
    assert not is_cold(registry, ENTRY_DELAY_MS + 2.0)


def test_claim_just_before_a_restart_is_known_is_kept() -> None:
    """The response of the new incarnation came before its entry."""
    registry = build_registry("200")
    registry.note("e0", "200", ColdSource.HEADER, 3_000.0, NOW_MS)
    registry.apply_incarnations({"e0": "300"}, NOW_MS + 100.0)
    registry.note("e0", "300", ColdSource.ENTRY, 0.0, NOW_MS + 100.0)
    assert is_cold(registry, 200.0)


def test_later_incarnation_is_believed_before_its_entry_arrives() -> None:
    """A VM that lags behind the others limits a replica that has restarted."""
    registry = build_registry("100")
    assert registry.note("e0", "200", ColdSource.PEER, 3_000.0, NOW_MS)
    assert is_cold(registry, 100.0)


def test_presumption_lasts_until_a_later_entry_has_arrived() -> None:
    """A replica that restarted unnoticed gets the rate of a warm one."""
    registry = build_registry()
    assert registry.presume(["e0"], NOW_MS) == ["e0"]
    registry.note("e0", "100", ColdSource.ENTRY, 0.0, NOW_MS + 1.0)
    assert is_cold(registry, ENTRY_DELAY_MS - 1.0)
    assert not is_cold(registry, ENTRY_DELAY_MS)


def test_claims_on_a_replica_that_is_gone_are_dropped() -> None:
    """Guards against a registry that grows with each replica there has been."""
    registry = build_registry()
    registry.note("e0", "100", ColdSource.HEADER, 30_000.0, NOW_MS)
    registry.apply_incarnations({}, NOW_MS)
    assert not is_cold(registry, 1.0)


@pytest.mark.parametrize(
    ("requests_per_s", "overshoot", "slack", "least"),
    [(15.0, 1.5, 5.0, 7.0), (2.0, 1.0, 1.0, 0.7), (2.0, 1.5, 1.0, 0.7)],
)
def test_rate_is_useful_within_small_tolerances(
    requests_per_s: float, overshoot: float, slack: float, least: float
) -> None:
    rate = compute_cold_rate(requests_per_s, overshoot, slack)
    assert rate is not None
    assert least <= rate <= requests_per_s


def test_nothing_is_issued_if_the_first_permits_exceed_the_tolerance() -> None:
    assert compute_cold_rate(1.0, 1.0, 1.0) is None
