"""What a voter is told of the fleet."""

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


def seat(groups: VoterGroups, base: VoterSet) -> None:
    """Have the voter begin with ``base``, as its peers do."""
    listed = frozenset(member.vm for member in base.members)
    replies = [
        SyncReply(member, None, (), listed, listed)
        for member in sorted(base.members)
        if member.vm != "a"
    ]
    voter = groups.get(0)
    voter.process_replies(voter.build_sync(), replies)
    assert voter.can_vote


def test_build_view_does_not_take_unheard_voters_for_gone(clock: ManualClock) -> None:
    """An agent starts and is told who votes before it has heard of VM c.

    If it proposed to remove what it does not know, each start would throw live
    voters out, and calls would be refused meanwhile.
    """
    members = [make_member("a"), make_member("b"), make_member("c")]
    groups = make_groups(clock, members)
    seat(groups, first_voter_set("abc"))
    members.pop()
    assert not groups.build_view(0).gone
    clock.advance(MAX_MISSING_MS)
    assert groups.build_view(0).gone == {"c"}


def test_build_view_takes_dead_voters_for_gone(clock: ManualClock) -> None:
    members = [make_member("a"), make_member("b"), make_member("c")]
    groups = make_groups(clock, members)
    seat(groups, first_voter_set("abc"))
    members[2] = make_member("c", MemberState.DEAD)
    assert groups.build_view(0).gone == {"c"}


def test_list_active_keeps_a_group_whose_voters_wait_for_this_vm(
    clock: ManualClock,
) -> None:
    """A VM asked for a seat; then the group fell to others, and the seat came.

    If it held no more rounds there, the VM that granted the seat would wait for its
    vote for good and refuse every booking of the group.
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
