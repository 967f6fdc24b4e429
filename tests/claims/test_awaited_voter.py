"""A voter that is added to a voter set when it is no longer wanted there.

VM a votes alone and VM b asks to be added. Before b learns that it was added, other VMs
start and rank before it, so b is no longer wanted. The peers still need its vote: if b
holds no more sync rounds, every booking of the group is refused until a VM restarts.
"""

from __future__ import annotations

from tests.claims.model import ModelFleet

WANTED_LATER = "cde"


def make_fleet() -> ModelFleet:
    """:returns: a fleet in which b has been added as a voter and has not joined"""
    fleet = ModelFleet("a")
    fleet.sync_all()
    fleet.start("b")
    for name in ("b", "b", "a", "a"):
        fleet.begin_sync(name)
        fleet.end_sync(name)
    for name in WANTED_LATER:
        fleet.start(name)
    return fleet


def sync_required_voters(fleet: ModelFleet, n_rounds: int = 24) -> None:
    """Hold the rounds that agents would: of voters that must sync or are wanted."""
    for _ in range(n_rounds):
        for name, vm in fleet.vms.items():
            if vm.voter.must_sync or name in WANTED_LATER:
                gone = {"a", "b"} if vm.voter.can_vote else ()
                fleet.begin_sync(name, gone=gone, wanted=WANTED_LATER)
                fleet.end_sync(name)


def test_added_voter_is_awaited_until_it_joins() -> None:
    fleet = make_fleet()
    committed = fleet.vms["a"].voter.chain.committed
    assert committed is not None
    assert fleet.vms["b"].voter.voter_id in committed.members
    assert fleet.vms["b"].voter.chain.committed is None
    assert fleet.vms["b"].voter.is_awaited


def test_voters_of_a_group_change_though_one_never_joined() -> None:
    fleet = make_fleet()
    sync_required_voters(fleet)
    committed_sets = {
        name: fleet.vms[name].voter.chain.committed for name in WANTED_LATER
    }
    for committed in committed_sets.values():
        assert committed is not None
        assert {voter_id.vm for voter_id in committed.members} == set(WANTED_LATER)
    assert not fleet.vms["b"].voter.must_sync


def test_voter_does_not_leave_while_its_vote_is_awaited() -> None:
    """The VM is stopped before it has joined: its peers need its vote to remove it."""
    fleet = make_fleet()
    fleet.begin_sync("a")
    leaver = fleet.vms["b"].voter
    leaver.leave()
    assert not leaver.has_left
    for _ in range(8):
        for name in ("b", "a"):
            fleet.begin_sync(name)
            fleet.end_sync(name)
    assert leaver.has_left
    committed = fleet.vms["a"].voter.chain.committed
    assert committed is not None
    assert {voter_id.vm for voter_id in committed.members} == {"a"}
