"""At-most-once execution of calls, whichever VM the caller resends them to.

Decision modules without I/O. :class:`Voter` grants keys and agrees with its peers on
the voter set, :class:`VoteTally` counts the votes for one claim and
:class:`ClaimTracker` keeps the state and the answers of a VM's own claims. The code
that embeds them sends the messages between VMs. docs/design/at-most-once.md has the
proof and its assumptions.

Three voters that have just started, and two claimants of one key:

>>> import random
>>> from quetzaldeck.clock import ManualClock
>>> clock = ManualClock(wall_offset_ms=1.7e12)
>>> settings = ClaimSettings(max_clock_skew_ms=0)
>>> vms = frozenset("abc")
>>> voters = {
...     vm: Voter(vm=vm, incarnation="1", clock=clock, settings=settings)
...     for vm in vms
... }
>>> for voter in voters.values():
...     voter.update_view(FleetView(listed=vms))
>>> for voter in voters.values():
...     request = voter.build_sync()
...     peers = [voters[vm] for vm in voter.peers]
...     voter.process_replies(request, [peer.answer_sync(request) for peer in peers])
>>> clock.advance(5)
>>> key = make_timed_key(clock, random.Random(1))
>>> def claim(vm):
...     wanted = Claim(hash_claim_key("club", key), "digest", f"claim-of-{vm}", vm)
...     tally = VoteTally(wanted)
...     for voter in voters.values():
...         tally.add(voter.vote(VoteRequest(wanted, read_key_time(key))))
...     return tally
>>> claim("a").is_won
True
>>> late = claim("b")
>>> late.is_won, [holder.vm for holder in late.holders]
(False, ['a'])
"""

from __future__ import annotations

from quetzaldeck.claims.chain import Commit, VoterSetChain
from quetzaldeck.claims.claim_tracker import (
    ClaimState,
    ClaimStatus,
    ClaimTracker,
    KeptAnswer,
)
from quetzaldeck.claims.fleet_view import FleetView
from quetzaldeck.claims.groups import choose_voters, group_of
from quetzaldeck.claims.keys import hash_claim_key, make_timed_key, read_key_time
from quetzaldeck.claims.messages import (
    Claim,
    HeldClaim,
    LostGrants,
    Release,
    SyncReply,
    SyncRequest,
    Verdict,
    Vote,
    VoteRequest,
)
from quetzaldeck.claims.permit import Permit
from quetzaldeck.claims.settings import ClaimSettings
from quetzaldeck.claims.table import ClaimTable
from quetzaldeck.claims.vote_tally import VoteTally
from quetzaldeck.claims.voter import Voter
from quetzaldeck.claims.voter_id import VoterId
from quetzaldeck.claims.voter_set import VoterSet, first_voter_set

__all__ = (
    "Claim",
    "ClaimSettings",
    "ClaimState",
    "ClaimStatus",
    "ClaimTable",
    "ClaimTracker",
    "Commit",
    "FleetView",
    "HeldClaim",
    "KeptAnswer",
    "LostGrants",
    "Permit",
    "Release",
    "SyncReply",
    "SyncRequest",
    "Verdict",
    "Vote",
    "VoteRequest",
    "VoteTally",
    "Voter",
    "VoterId",
    "VoterSet",
    "VoterSetChain",
    "choose_voters",
    "first_voter_set",
    "group_of",
    "hash_claim_key",
    "make_timed_key",
    "read_key_time",
)
