"""Which allocations of an engine may be released, and on which proof."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.reclaim.crashes import Trial

from quetzaldeck.reclaim import (
    OwnerRegistry,
    OwnerState,
    Reclaimer,
    ReclaimSettings,
    confirm_releases,
    mark_expiry,
    read_expiry_ms,
)
from quetzaldeck.upstreams import Owner, RunningSequence

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

SETTINGS = ReclaimSettings()
QUIET_MS = SETTINGS.quiet_ms
OWNER = Owner("entry-1", "gateway.1")


def make_allocation(
    allocation_id: str = "a.1", owner: Owner = OWNER, age_ms: float = 60_000
) -> RunningSequence:
    return RunningSequence(allocation_id, owner, 1_000, age_ms)


def report(
    registry: OwnerRegistry, clock: ManualClock, incarnation: str, duration_ms: float
) -> None:
    for _ in range(round(duration_ms / 1_000)):
        clock.advance(1_000)
        registry.note_report(incarnation, is_stopped=False)


@pytest.mark.parametrize("seed", range(2))
def test_200_crashes_leak_nothing_and_release_nothing_in_use(seed: int) -> None:
    """VMs crash, are replaced, paused or partitioned, and their ids are reused.

    If an allocation in use is released, its caller gets a truncated answer. Memory that
    is not released stays leaked until the engine restarts.
    """
    outcome = Trial(seed, with_reclaim=True).run()
    assert outcome.n_leaked_tokens == 0
    assert outcome.n_released > 100


def test_without_reclaim_the_same_crashes_leak_memory() -> None:
    outcome = Trial(0, with_reclaim=False, n_crashes=20).run()
    assert outcome.n_leaked_tokens > 1_000_000


def test_a_silent_gateway_is_not_gone(clock: ManualClock) -> None:
    """The gateway's process is paused for an hour and continues afterwards."""
    registry = OwnerRegistry(clock, quiet_ms=QUIET_MS)
    report(registry, clock, "gateway.1", 5_000)
    assert registry.find_state("gateway.1") is OwnerState.LIVE
    clock.advance(3_600_000)
    states = [registry.find_state("gateway.1")]
    clock.advance(QUIET_MS / 4)
    for _ in range(10):
        clock.advance(QUIET_MS / 4)
        states.append(registry.find_state("gateway.1"))
    assert OwnerState.GONE not in states
    assert states[-1] is OwnerState.UNKNOWN


def test_a_gateway_with_a_successor_is_gone_after_its_silence(
    clock: ManualClock,
) -> None:
    registry = OwnerRegistry(clock, quiet_ms=QUIET_MS)
    report(registry, clock, "gateway.1", 5_000)
    report(registry, clock, "gateway.2", QUIET_MS - 1_000)
    assert registry.find_state("gateway.1") is OwnerState.LIVE
    report(registry, clock, "gateway.2", 2_000)
    assert registry.find_state("gateway.1") is OwnerState.GONE
    assert registry.find_state("gateway.2") is OwnerState.LIVE


def test_silence_is_counted_from_the_end_of_an_agents_pause(clock: ManualClock) -> None:
    """The agent is paused for a minute while an old and a new gateway run.

    After the pause the new one reports first. The old one is still finishing requests;
    it only seems silent because its reports during the pause were lost.
    """
    registry = OwnerRegistry(clock, quiet_ms=QUIET_MS)
    report(registry, clock, "gateway.1", 5_000)
    clock.advance(60_000)
    registry.note_report("gateway.2", is_stopped=False)
    assert registry.find_state("gateway.1") is OwnerState.LIVE


def test_a_gateway_that_reported_its_stop_is_gone(clock: ManualClock) -> None:
    registry = OwnerRegistry(clock, quiet_ms=QUIET_MS)
    registry.note_report("gateway.1", is_stopped=True)
    assert registry.find_state("gateway.1") is OwnerState.GONE


def test_the_state_of_an_incarnation_that_never_reported_is_unknown(
    clock: ManualClock,
) -> None:
    """The id of a VM behind a partition is reused for a new VM.

    The old VM continues to serve. If the new VM's agent answered for it because of the
    same name, allocations of running requests would be released.
    """
    registry = OwnerRegistry(clock, quiet_ms=QUIET_MS)
    report(registry, clock, "gateway.2", 3 * QUIET_MS)
    assert registry.find_state("gateway.1") is OwnerState.UNKNOWN


@pytest.mark.parametrize("state", [OwnerState.LIVE, OwnerState.UNKNOWN])
def test_nothing_is_released_without_a_proof(
    clock: ManualClock, state: OwnerState
) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    assert reclaimer.list_owners_to_query([make_allocation()]) == (OWNER,)
    reclaimer.note_owner_state(OWNER, state)
    assert reclaimer.list_releases([make_allocation()]) == ()


def test_only_allocations_of_the_gone_owner_are_released(clock: ManualClock) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    reclaimer.note_owner_state(OWNER, OwnerState.GONE)
    other = make_allocation("b.1", OWNER._replace(incarnation="gateway.2"))
    releases = reclaimer.list_releases([make_allocation(), other])
    assert [release.allocation.attempt_id for release in releases] == ["a.1"]


def test_a_passed_deadline_is_a_proof_after_the_clock_skew(
    clock: ManualClock,
) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    allocation = make_allocation(mark_expiry("a.1", clock.wall_ms()))
    clock.advance(SETTINGS.clock_skew_ms)
    assert reclaimer.list_releases([allocation]) == ()
    clock.advance(1_001)
    (release,) = reclaimer.list_releases([allocation])
    assert release.why == "deadline_passed"


def test_an_id_without_a_deadline_is_assumed_to_have_the_longest(
    clock: ManualClock,
) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    longest_ms = SETTINGS.max_deadline_ms + SETTINGS.clock_skew_ms
    assert reclaimer.list_releases([make_allocation(age_ms=longest_ms)]) == ()
    assert reclaimer.list_releases([make_allocation(age_ms=longest_ms + 1)])


def test_a_reused_id_is_not_released(clock: ManualClock) -> None:
    """The engine restarts between the scan and the release and reuses the id."""
    reclaimer = Reclaimer(clock, SETTINGS)
    reclaimer.note_owner_state(OWNER, OwnerState.GONE)
    releases = reclaimer.list_releases([make_allocation()])
    assert confirm_releases(releases, [make_allocation(age_ms=100)]) == ()
    other = make_allocation(owner=OWNER._replace(incarnation="gateway.2"))
    assert confirm_releases(releases, [other]) == ()
    assert confirm_releases(releases, [make_allocation(age_ms=60_100)]) == releases


def test_queries_are_bounded_and_reach_all_owners(clock: ManualClock) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    owners = [Owner("entry-1", f"gateway.{n}") for n in range(20)]
    allocations = [make_allocation(f"{n}.1", owner) for n, owner in enumerate(owners)]
    asked = set()
    for _ in range(3):
        queried = reclaimer.list_owners_to_query(allocations)
        assert len(queried) == SETTINGS.max_questions
        asked |= set(queried)
        clock.advance(1_000)
    assert asked == set(owners)


def test_recent_allocations_are_not_released(clock: ManualClock) -> None:
    reclaimer = Reclaimer(clock, SETTINGS)
    reclaimer.note_owner_state(OWNER, OwnerState.GONE)
    recent = make_allocation(age_ms=SETTINGS.min_age_ms - 1)
    assert reclaimer.list_owners_to_query([recent]) == ()
    assert reclaimer.list_releases([recent]) == ()


@pytest.mark.parametrize("suffix", ["", ".group", ".group.part0"])
def test_ids_made_from_an_attempts_id_keep_its_deadline(suffix: str) -> None:
    marked = mark_expiry("0123abcd.1", 1_700_000_000_500)
    assert read_expiry_ms(marked + suffix) == 1_700_000_001_000
    assert read_expiry_ms("0123abcd.1") is None
