"""The task that votes on claims and agrees with peers on the voter sets."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.claims import Release, SyncReply, SyncRequest, VoteRequest
from quetzaldeck.http import BodyError, decode_body
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.agent.claim_peers import ClaimPeers
    from quetzaldeck.agent.voter_groups import VoterGroups
    from quetzaldeck.claims import ClaimSettings, FleetView, Voter
    from quetzaldeck.peers import PeerIdentity
    from quetzaldeck.telemetry import AgentMetrics

N_IDLE_INTERVALS = 60
"""Intervals between two rounds of a settled voter."""

MAX_STUCK_INTERVALS = 4
"""Maximum of intervals between two rounds of an unsettled voter without progress."""

_SYNC = JsonDecoder(SyncRequest)
_REPLY = JsonDecoder(SyncReply)
_VOTE_REQUEST = JsonDecoder(VoteRequest)
_RELEASE = JsonDecoder(Release)
_encode = msgspec.json.encode


class _RoundSchedule:
    """Decides in which intervals a group holds a round."""

    def __init__(self) -> None:
        self.last_view: FleetView | None = None
        self.n_waited = 0
        self.n_stuck = 0

    def is_due(self, voter: Voter, view: FleetView) -> bool:
        """:returns: whether to hold a round in this interval"""
        self.n_waited += 1
        if view != self.last_view:
            return True
        if voter.is_settled:
            return self.n_waited >= N_IDLE_INTERVALS
        return self.n_waited >= min(self.n_stuck, MAX_STUCK_INTERVALS)

    def note_round(self, view: FleetView, *, has_changed: bool) -> None:
        """Record a round."""
        self.last_view = view
        self.n_waited = 0
        self.n_stuck = 0 if has_changed else self.n_stuck + 1


class VoterTask:
    """Holds rounds with peers and answers their messages.

    Rounds are held while the membership or the voter sets change, and less often while
    they have no effect, e.g. in the minority side of a partition. In a settled fleet
    rounds are rare and only repair the effects of lost messages.
    """

    def __init__(
        self,
        groups: VoterGroups,
        peers: ClaimPeers,
        settings: ClaimSettings,
        metrics: AgentMetrics,
    ) -> None:
        self._groups = groups
        self._peers = peers
        self._settings = settings
        self._metrics = metrics
        self._schedules: dict[int, _RoundSchedule] = {}
        self._wake = asyncio.Event()
        peers.register("claim-sync", self._answer_sync)
        peers.register("claim-vote", self._answer_vote)
        peers.register("claim-release", self._answer_release)

    async def run(self) -> None:
        """Hold rounds until cancelled."""
        while True:
            try:
                await self.step()
            except BodyError as error:
                log_event("claim_round_failed", level="ERROR", error=error)
            await self._wait_for_interval()

    async def step(self) -> None:
        """Hold the rounds that are due."""
        due = []
        for group in self._groups.list_active():
            voter = self._groups.get(group)
            view = self._groups.build_view(group)
            schedule = self._schedules.setdefault(group, _RoundSchedule())
            if schedule.is_due(voter, view):
                due.append(self._hold_scheduled_round(voter, schedule, view))
        await asyncio.gather(*due)
        self._update_metrics()

    async def leave(self) -> None:
        """Have this VM's voters removed from the voter sets and hand over their grants.

        If a VM left without this, it would count in every majority until the others
        confirmed it dead, and calls would be refused in a rolling replacement.
        """
        await asyncio.gather(*(self._leave(voter) for voter in self._groups.voters))

    async def _leave(self, voter: Voter) -> None:
        voter.leave()
        while not voter.has_left:
            await self._hold_round(voter)
            if not voter.has_left:
                await asyncio.sleep(self._settings.sync_interval_ms / 4_000)

    async def _wait_for_interval(self) -> None:
        self._wake.clear()
        try:
            async with asyncio.timeout(self._settings.sync_interval_ms / 1_000):
                await self._wake.wait()
        except TimeoutError:
            return

    async def _hold_scheduled_round(
        self, voter: Voter, schedule: _RoundSchedule, view: FleetView
    ) -> None:
        before = voter.state
        await self._hold_round(voter)
        schedule.note_round(view, has_changed=voter.state != before)

    async def _hold_round(self, voter: Voter) -> None:
        request = voter.build_sync()
        replies = await self._peers.ask_all(
            voter.peers,
            "claim-sync",
            _encode(request),
            self._settings.vote_timeout_ms,
        )
        before = voter.chain.committed
        voter.process_replies(
            request, [decode_body(reply, _REPLY) for reply in replies]
        )
        committed = voter.chain.committed
        if committed is not None and committed != before:
            vms = ",".join(sorted(voter_id.vm for voter_id in committed.members))
            log_event("claim_voters_changed", group=voter.group, vms=vms)
            self._metrics.claim_voter_sets.inc()

    def _update_metrics(self) -> None:
        active = [voter for voter in self._groups.voters if voter.can_vote]
        sizes = [
            len(v.chain.committed.members)
            for v in active
            if v.chain.committed is not None
        ]
        self._metrics.claim_voters.set(min(sizes, default=0))
        is_settled = bool(active) and all(voter.is_settled for voter in active)
        self._metrics.claim_is_settled.set(is_settled)
        n_claims = sum(len(voter.table) for voter in active)
        self._metrics.claims_held.set(n_claims)

    async def _answer_sync(self, sender: PeerIdentity, body: bytes) -> bytes:
        request = decode_body(body, _SYNC)
        if request.voter_id.vm != sender.vm:
            msg = f"VM {sender.vm} sent a sync request of VM {request.voter_id.vm}"
            raise ValueError(msg)
        voter = self._groups.get(request.group)
        before = voter.state
        reply = voter.answer_sync(request)
        if voter.state != before:
            self._schedules.pop(request.group, None)
            self._wake.set()
        return _encode(reply)

    async def _answer_vote(self, sender: PeerIdentity, body: bytes) -> bytes:
        request = decode_body(body, _VOTE_REQUEST)
        vote = self._groups.find(request.claim.key).vote(request)
        self._metrics.claim_votes.labels(vote.verdict.value).inc()
        return _encode(vote)

    async def _answer_release(self, sender: PeerIdentity, body: bytes) -> bytes:
        release = decode_body(body, _RELEASE)
        self._groups.find(release.key).release(release)
        return b""


__all__ = ("VoterTask",)
