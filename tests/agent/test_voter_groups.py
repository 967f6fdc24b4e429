"""The view of the fleet that a voter gets, and the groups in which a VM votes."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.agent.voter_groups import MAX_MISSING_MS, VoterGroups
from quetzaldeck.claims import (
    ClaimSettings,
    SyncReply,
    SyncRequest,
    VoterId,
    VoterSet,
    first_voter_set,
)
from quetzaldeck.membership import Member, MembershipView, MemberState
from quetzaldeck.peers import PeerIdentity

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock


def make_member(vm: str, state: MemberState = MemberState.LIVE) -> Member:
    return Member(vm, "1", f"http://{vm}", "ktm-a", state, 0.0, is_listed=True)


def make_groups(clock: ManualClock, members: list[Member]) -> VoterGroups:
    return VoterGroups(
        PeerIdentity("a", "1"),
        clock,
        ClaimSettings(),
        read_view=lambda: MembershipView("a", "1", tuple(members), 0.0),
    )


def start_voting(groups: VoterGroups, first_set: VoterSet) -> None:
    """Have the voter of VM a start with the same voter set as its peers."""
    listed = frozenset(member.vm for member in first_set.members)
    replies = [
        SyncReply(member, None, (), listed, listed)
        for member in sorted(first_set.members)
        if member.vm != "a"
    ]
    voter = groups.get(0)
    voter.process_replies(voter.build_sync(), replies)
    assert voter.can_vote


def test_build_view_does_not_count_unknown_voters_as_gone(clock: ManualClock) -> None:
    """An agent starts and receives a voter set before it knows VM c, which is in it.

    If it proposed to remove unknown voters, each start of an agent would remove live
    ones, and calls would be refused meanwhile.
    """
    members = [make_member("a"), make_member("b"), make_member("c")]
    groups = make_groups(clock, members)
    start_voting(groups, first_voter_set("abc"))
    members.pop()
    assert not groups.build_view(0).gone
    clock.advance(MAX_MISSING_MS)
    assert groups.build_view(0).gone == {"c"}


def test_build_view_counts_dead_voters_as_gone(clock: ManualClock) -> None:
    members = [make_member("a"), make_member("b"), make_member("c")]
    groups = make_groups(clock, members)
    start_voting(groups, first_voter_set("abc"))
    members[2] = make_member("c", MemberState.DEAD)
    assert groups.build_view(0).gone == {"c"}


def test_list_active_keeps_a_group_whose_voters_wait_for_this_vm(
    clock: ManualClock,
) -> None:
    """A VM is added to a voter set after its group was assigned to other VMs.

    If it held no more rounds there, the VM that added it would wait for its vote for
    ever and refuse every call of the group that must run at most once.
    """
    members = [make_member("a"), make_member("b")]
    settings = ClaimSettings(n_groups=1, max_voters=1)
    groups = VoterGroups(
        PeerIdentity("a", "1"),
        clock,
        settings,
        read_view=lambda: MembershipView("a", "1", tuple(members), 0.0),
    )
    voter = groups.get(0)
    granted = VoterSet(frozenset({VoterId("b"), voter.voter_id}))
    assert groups.list_wanted() == ()
    assert groups.list_active() == ()
    voter.answer_sync(SyncRequest(VoterId("b"), granted, ()))
    assert groups.list_active() == (0,)
