"""Wins claims for this VM's gateway, or relays the answer of who holds them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

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
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    import random

    from quetzaldeck.agent.claim_peers import ClaimPeers
    from quetzaldeck.agent.voter_groups import VoterGroups
    from quetzaldeck.claims import ClaimSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.exchange.claim_messages import ClaimEnd, ClaimRequest
    from quetzaldeck.telemetry import AgentMetrics

MAX_ROUNDS = 4
"""Rounds of one order: claimants that split the votes in one rarely do so in four."""
BACKOFF_MS = 40.0
"""Longest pause between two rounds: tens of ways between zones."""
RETRY_AFTER_MS = 1_000.0
"""When to come back without a majority: two rounds among voters have been held then."""

_VOTE = msgspec.json.Decoder(Vote)
_encode = msgspec.json.encode


class ClaimCoordinator:
    """The claimant of one VM.

    :param groups: this VM's own voters, asked like any others
    :param vm: this VM
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
        self._book = ClaimTracker(clock, settings)
        self._holds = ClaimHolds(
            vm=vm,
            book=self._book,
            peers=peers,
            clock=clock,
            settings=settings,
            random_state=random_state,
        )
        self._orders: dict[str, Claim] = {}

    @property
    def book(self) -> ClaimTracker:
        """:returns: this VM's claims"""
        return self._book

    @property
    def holds(self) -> ClaimHolds:
        """:returns: what tells how claims ended, here and at other VMs"""
        return self._holds

    async def decide(self, order: ClaimRequest) -> ClaimDecision:
        """Win the claim, relay the holder's answer, or refuse."""
        deadline_ms = self._clock.now_ms() + order.timeout_ms
        failure = self._check(order)
        if failure is not None:
            return self._refuse(failure)
        try:
            decision = await self._decide(order, deadline_ms)
        except BaseException:
            # The gateway is gone or gave up: it will not run the call.
            await asyncio.shield(self._abandon(order.claim_request_id))
            raise
        self._metrics.claim_decisions.labels(decision.verdict.value).inc()
        return decision

    async def end(self, end: ClaimEnd) -> None:
        """Take the gateway's word on what became of an order."""
        if not end.has_run:
            await self._abandon(end.claim_request_id)
            return
        claim = self._orders.pop(end.claim_request_id, None)
        if claim is not None:
            self._book.finish(claim.claim_id, end.answer)
            await self._holds.notify()

    def _check(self, order: ClaimRequest) -> Failure | None:
        if order.timeout_ms > self._settings.max_deadline_ms:
            detail = (
                "a call that may not be repeated has a deadline of at most "
                f"{self._settings.max_deadline_ms} ms"
            )
            return Failure(Reason.MALFORMED_REQUEST, detail=detail)
        created_ms = read_key_time(order.key)
        resend_ms = self._settings.window_ms - self._settings.max_deadline_ms
        if created_ms is not None and created_ms < self._clock.wall_ms() - resend_ms:
            detail = "the idempotency key is older than the time for resends"
            return Failure(Reason.KEY_FINISHED, Ran.UNKNOWN, detail=detail)
        return None

    async def _decide(self, order: ClaimRequest, deadline_ms: float) -> ClaimDecision:
        for n_round in range(MAX_ROUNDS):
            started_ms = self._clock.now_ms()
            counted = await self._hold_round(order, n_round)
            if self._book.win(counted.claim.claim_id):
                spent_ms = self._clock.now_ms() - started_ms
                lease_ms = min(order.timeout_ms, self._settings.max_deadline_ms)
                self._metrics.claim_seconds.observe(spent_ms / 1_000)
                return ClaimDecision(ClaimVerdict.GRANTED, lease_ms)
            if counted.has_conflict:
                return self._refuse(Failure(Reason.KEY_CONFLICT))
            if counted.holders:
                decision = await self._attach(counted, deadline_ms)
                if decision is not None:
                    return decision
            elif counted.retry_after_ms > self._settings.sync_interval_ms:
                break
            if self._clock.now_ms() + BACKOFF_MS >= deadline_ms:
                break
            # Two claimants that split the votes would split them again in step.
            await asyncio.sleep(self._random.uniform(0.2, 1) * BACKOFF_MS / 1_000)
        return self._refuse(_no_quorum(counted))

    async def _hold_round(self, order: ClaimRequest, n_round: int) -> VoteTally:
        """Ask the voters; a round that is not won is given up at once."""
        claim = Claim(
            hash_claim_key(order.customer, order.key),
            order.body_digest,
            f"{order.claim_request_id}.{n_round}",
            self._vm,
        )
        while len(self._orders) >= self._settings.max_claims:
            # Orders whose gateway ended before it could say so.
            del self._orders[next(iter(self._orders))]
        self._orders[order.claim_request_id] = claim
        self._book.begin(claim)
        counted = VoteTally(claim)
        request = VoteRequest(claim, read_key_time(order.key))
        counted.add(self._groups.find(claim.key).vote(request))
        await self._ask_voters(counted, request)
        if not counted.is_won:
            await self._abandon(order.claim_request_id)
        return counted

    async def _ask_voters(self, counted: VoteTally, request: VoteRequest) -> None:
        asked = frozenset({self._vm})
        wanted = self._groups.find(request.claim.key).voters_to_ask
        while wanted and not counted.is_won:
            asked |= wanted
            votes = self._peers.ask_each(
                wanted, "claim-vote", _encode(request), self._settings.vote_timeout_ms
            )
            async for vote in votes:
                counted.add(decode_body(vote, _VOTE))
                if counted.is_won:
                    return
            wanted = counted.list_unasked(asked)

    async def _abandon(self, claim_request_id: str) -> None:
        """Give up the claim of an order; voters are told, but need not hear it."""
        claim = self._orders.pop(claim_request_id, None)
        if claim is None:
            return
        self._book.abandon(claim.claim_id)
        if self._book.find(claim.claim_id).state is ClaimState.ABANDONED:
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

    async def _attach(
        self, counted: VoteTally, deadline_ms: float
    ) -> ClaimDecision | None:
        """Wait for the holders' end of the call.

        :returns: ``None`` if every holder gave its claim up, so that a further
            round may win
        """
        for holder in counted.holders:
            hold = await self._holds.read(holder, deadline_ms)
            if hold.answer is not None:
                return ClaimDecision(ClaimVerdict.ANSWERED, answer=hold.answer)
            if hold.state is ClaimState.ABANDONED:
                self._release(holder)
            elif hold.state is ClaimState.FINISHED:
                return self._refuse(Failure(Reason.KEY_FINISHED, Ran.UNKNOWN))
            else:
                detail = f"VM {holder.vm} holds the key; its answer is not known here"
                return self._refuse(
                    Failure(Reason.KEY_IN_PROGRESS, Ran.UNKNOWN, RETRY_AFTER_MS, detail)
                )
        return None

    def _refuse(self, failure: Failure) -> ClaimDecision:
        self._metrics.claim_refusals.labels(failure.reason.value).inc()
        return ClaimDecision(ClaimVerdict.REFUSED, failure=failure)


def _no_quorum(counted: VoteTally) -> Failure:
    why = "; ".join(counted.reasons) or "too few voters answered"
    retry_after_ms = max(counted.retry_after_ms, RETRY_AFTER_MS)
    detail = f"no majority of VMs could confirm that the call has not run: {why}"
    return Failure(Reason.NO_QUORUM, Ran.NO, retry_after_ms, detail)


__all__ = ("ClaimCoordinator",)
