"""Wins claims for this VM's gateway, or relays the answer of the VM that holds them."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.agent.claim_backoff import RETRY_AFTER_MS, ClaimBackoff
from quetzaldeck.agent.claim_holds import ClaimHolds
from quetzaldeck.claims import (
    Claim,
    ClaimState,
    ClaimTracker,
    Release,
    Vote,
    VoteRequest,
    VoteTally,
    hash_claim_key,
    read_key_time,
)
from quetzaldeck.exchange.claim_messages import ClaimDecision, ClaimVerdict
from quetzaldeck.http import decode_body
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.agent.claim_peers import ClaimPeers
    from quetzaldeck.agent.voter_groups import VoterGroups
    from quetzaldeck.claims import ClaimSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.exchange.claim_messages import ClaimEnd, ClaimRequest
    from quetzaldeck.telemetry import AgentMetrics

_VOTE = JsonDecoder(Vote)
_encode = msgspec.json.encode


class ClaimCoordinator:
    """The claimant of one VM.

    :param groups: this VM's own voters, whose votes count like any others
    :param vm: id of this VM
    """

    def __init__(
        self,
        *,
        vm: str,
        groups: VoterGroups,
        peers: ClaimPeers,
        clock: Clock,
        settings: ClaimSettings,
        metrics: AgentMetrics,
        random_state: random.Random,
    ) -> None:
        self._vm = vm
        self._groups = groups
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._metrics = metrics
        self._random = random_state
        self._tracker = ClaimTracker(clock, settings)
        self._holds = ClaimHolds(
            vm=vm,
            tracker=self._tracker,
            peers=peers,
            clock=clock,
            settings=settings,
            random_state=random_state,
        )
        self._open_claims: dict[str, Claim] = {}

    @property
    def tracker(self) -> ClaimTracker:
        """:returns: this VM's claims"""
        return self._tracker

    @property
    def holds(self) -> ClaimHolds:
        """:returns: access to the outcomes of claims, here and at other VMs"""
        return self._holds

    async def decide(self, claim_request: ClaimRequest) -> ClaimDecision:
        """Win the claim, relay the holder's answer, or refuse the call."""
        deadline_ms = self._clock.now_ms() + claim_request.timeout_ms
        failure = self._check(claim_request)
        if failure is not None:
            return self._refuse(failure)
        try:
            decision = await self._decide(claim_request, deadline_ms)
        except BaseException:
            # The gateway crashed or closed the connection; it will not run the call.
            await asyncio.shield(self._abandon(claim_request.claim_request_id))
            raise
        self._metrics.claim_decisions.labels(decision.verdict.value).inc()
        return decision

    async def end(self, end: ClaimEnd) -> None:
        """Process the gateway's message that it has finished with a claim request."""
        if not end.has_run:
            await self._abandon(end.claim_request_id)
            return
        claim = self._open_claims.pop(end.claim_request_id, None)
        if claim is not None:
            self._tracker.finish(claim.claim_id, end.answer)
            await self._holds.notify()

    def _check(self, claim_request: ClaimRequest) -> Failure | None:
        if claim_request.timeout_ms > self._settings.max_deadline_ms:
            detail = (
                "a call that may not be repeated has a deadline of at most "
                f"{self._settings.max_deadline_ms} ms"
            )
            return Failure(Reason.MALFORMED_REQUEST, detail=detail)
        created_ms = read_key_time(claim_request.key)
        resend_ms = self._settings.window_ms - self._settings.max_deadline_ms
        if created_ms is not None and created_ms < self._clock.wall_ms() - resend_ms:
            detail = "the idempotency key is too old for a resend"
            return Failure(Reason.KEY_FINISHED, Ran.UNKNOWN, detail=detail)
        return None

    async def _decide(
        self, claim_request: ClaimRequest, deadline_ms: float
    ) -> ClaimDecision:
        backoff = ClaimBackoff(self._clock, self._settings, self._random, deadline_ms)
        for n_round in itertools.count():
            started_ms = self._clock.now_ms()
            tally = await self._hold_round(claim_request, n_round)
            if self._tracker.win(tally.claim.claim_id):
                spent_ms = self._clock.now_ms() - started_ms
                lease_ms = min(claim_request.timeout_ms, self._settings.max_deadline_ms)
                self._metrics.claim_seconds.observe(spent_ms / 1_000)
                return ClaimDecision(ClaimVerdict.GRANTED, lease_ms)
            if tally.has_conflict:
                return self._refuse(Failure(Reason.KEY_CONFLICT))
            if tally.holders:
                decision = await self._wait_for_holders(tally, deadline_ms)
                if decision is not None:
                    return decision
            wait_ms = backoff.next_wait_ms(tally)
            if wait_ms is None:
                break
            await asyncio.sleep(wait_ms / 1_000)
        return self._refuse(_build_no_quorum(tally))

    async def _hold_round(self, claim_request: ClaimRequest, n_round: int) -> VoteTally:
        """Ask the voters; the claim is abandoned at once if the round is not won."""
        claim = Claim(
            hash_claim_key(claim_request.customer, claim_request.key),
            claim_request.body_digest,
            f"{claim_request.claim_request_id}.{n_round}",
            self._vm,
        )
        while len(self._open_claims) >= self._settings.max_claims:
            # Evicts the oldest claim: its gateway ended without sending a ClaimEnd.
            del self._open_claims[next(iter(self._open_claims))]
        self._open_claims[claim_request.claim_request_id] = claim
        self._tracker.begin(claim)
        tally = VoteTally(claim)
        request = VoteRequest(claim, read_key_time(claim_request.key))
        tally.add(self._groups.find(claim.key).vote(request))
        await self._ask_voters(tally, request)
        if not tally.is_won:
            await self._abandon(claim_request.claim_request_id)
        return tally

    async def _ask_voters(self, tally: VoteTally, request: VoteRequest) -> None:
        asked = frozenset({self._vm})
        wanted = self._groups.find(request.claim.key).voters_to_ask
        while wanted and not tally.is_won:
            asked |= wanted
            votes = self._peers.ask_each(
                wanted, "claim-vote", _encode(request), self._settings.vote_timeout_ms
            )
            async for vote in votes:
                tally.add(decode_body(vote, _VOTE))
                if tally.is_won:
                    return
            wanted = tally.list_unasked(asked)

    async def _abandon(self, claim_request_id: str) -> None:
        """Abandon the claim of a claim request and release it at the voters.

        The release is best effort; a voter that misses it forgets the claim later.
        """
        claim = self._open_claims.pop(claim_request_id, None)
        if claim is None:
            return
        self._tracker.abandon(claim.claim_id)
        if self._tracker.find(claim.claim_id).state is ClaimState.ABANDONED:
            self._release(claim)
        await self._holds.notify()

    def _release(self, claim: Claim) -> None:
        release = Release(claim.key, claim.claim_id)
        voter = self._groups.find(claim.key)
        voter.release(release)
        self._peers.start(
            self._peers.ask_all(
                voter.voters_to_ask,
                "claim-release",
                _encode(release),
                self._settings.vote_timeout_ms,
            )
        )

    async def _wait_for_holders(
        self, tally: VoteTally, deadline_ms: float
    ) -> ClaimDecision | None:
        """Wait until the VMs that hold the key have finished the call.

        :returns: ``None`` if every holder abandoned its claim, so that another round
            may win
        """
        for holder in tally.holders:
            status = await self._holds.wait_for_end(holder, deadline_ms)
            if status.answer is not None:
                return ClaimDecision(ClaimVerdict.ANSWERED, answer=status.answer)
            if status.state is ClaimState.ABANDONED:
                self._release(holder)
            elif status.state is ClaimState.FINISHED:
                return self._refuse(Failure(Reason.KEY_FINISHED, Ran.UNKNOWN))
            else:
                detail = f"VM {holder.vm} holds the key and its answer is not available"
                return self._refuse(
                    Failure(Reason.KEY_IN_PROGRESS, Ran.UNKNOWN, RETRY_AFTER_MS, detail)
                )
        return None

    def _refuse(self, failure: Failure) -> ClaimDecision:
        self._metrics.claim_refusals.labels(failure.reason.value).inc()
        return ClaimDecision(ClaimVerdict.REFUSED, failure=failure)


def _build_no_quorum(tally: VoteTally) -> Failure:
    why = "; ".join(tally.reasons) or "too few voters answered"
    retry_after_ms = max(tally.retry_after_ms, RETRY_AFTER_MS)
    detail = f"no majority of VMs has confirmed that the call has not run: {why}"
    return Failure(Reason.NO_QUORUM, Ran.NO, retry_after_ms, detail)


__all__ = ("ClaimCoordinator",)
