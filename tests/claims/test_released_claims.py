"""Claims that were abandoned by a claimant that stops afterwards."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims import (
    Claim,
    ClaimSettings,
    ClaimTable,
    FleetView,
    Release,
    Verdict,
    Voter,
    VoteRequest,
)

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

CLAIM = Claim("key", "digest", "entry-4:1", "entry-4")
WINDOW_MS = 60_000.0


def test_snapshot_from_before_a_release_does_not_restore_the_claim(
    clock: ManualClock,
) -> None:
    """A booking stayed in doubt whose claimant had refused it and then stopped.

    Voters exchange snapshots when a VM joins. One that was taken before the release
    and merged after it stored the claim again.
    """
    one, other = ClaimTable(clock, WINDOW_MS), ClaimTable(clock, WINDOW_MS)
    one.add(CLAIM)
    snapshot = one.snapshot()
    for table in (one, other):
        table.release(CLAIM.key, CLAIM.claim_id)
        table.merge(snapshot)
        assert table.find(CLAIM.key) == ()


def test_vote_request_after_the_release_is_not_granted(clock: ManualClock) -> None:
    """A voter that was paused processes a vote request after its release."""
    voter = Voter(vm="a", incarnation="1", clock=clock, settings=ClaimSettings())
    voter.update_view(FleetView(frozenset({"a"})))
    voter.process_replies(voter.build_sync(), [])
    assert voter.can_vote
    voter.release(Release(CLAIM.key, CLAIM.claim_id))
    clock.advance(WINDOW_MS)
    created_ms = clock.wall_ms()
    vote = voter.vote(VoteRequest(CLAIM, created_ms))
    assert vote.verdict is Verdict.ABSTAINED
    assert voter.table.find(CLAIM.key) == ()
    next_claim = CLAIM._replace(claim_id="a:1", vm="a")
    vote = voter.vote(VoteRequest(next_claim, created_ms))
    assert vote.verdict is Verdict.GRANTED
