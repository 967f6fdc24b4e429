"""Outcomes of claims that this or another VM holds, and their stored answers."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.claims import Claim, ClaimState, ClaimStatus
from quetzaldeck.claims.claimant_messages import AnswerHandover, ClaimStatusRequest
from quetzaldeck.http import decode_body
from quetzaldeck.json_decoder import JsonDecoder

if TYPE_CHECKING:
    import random

    from quetzaldeck.agent.claim_peers import ClaimPeers
    from quetzaldeck.claims import ClaimSettings, ClaimTracker
    from quetzaldeck.clock import Clock
    from quetzaldeck.peers import PeerIdentity

WAIT_MARGIN_MS = 100.0
"""Time reserved for each of the two hops by which an answer reaches the gateway."""

N_ANSWER_COPIES = 2
"""VMs that receive the answers of a leaving VM; one of them may leave next."""

_STATUS = JsonDecoder(ClaimStatus)
_STATUS_REQUEST = JsonDecoder(ClaimStatusRequest)
_HANDOVER = JsonDecoder(AnswerHandover)
_encode = msgspec.json.encode


class ClaimHolds:
    """Waits for the ends of claims, and answers other VMs about claims held here.

    :param vm: id of this VM
    :param tracker: the claims of this VM
    """

    def __init__(
        self,
        *,
        vm: str,
        tracker: ClaimTracker,
        peers: ClaimPeers,
        clock: Clock,
        settings: ClaimSettings,
        random_state: random.Random,
    ) -> None:
        self._vm = vm
        self._tracker = tracker
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._random = random_state
        self._changed = asyncio.Condition()
        peers.register("claim-hold", self._answer_status_request)
        peers.register("claim-answers", self._import_answers)

    async def hand_over(self) -> None:
        """Copy the answers stored here to peers, which then answer later resends."""
        answers = self._tracker.list_finished()
        if not answers:
            return
        body = _encode(AnswerHandover(answers))
        n_copies = 0
        peers = sorted(self._peers.list_live())
        self._random.shuffle(peers)
        for vm in peers:
            reply = await self._peers.ask(
                vm, "claim-answers", body, self._settings.vote_timeout_ms
            )
            n_copies += reply is not None
            if n_copies == N_ANSWER_COPIES:
                return

    async def wait_for_end(self, holder: Claim, deadline_ms: float) -> ClaimStatus:
        """:returns: the status of a claim once its call has ended or time is up"""
        remaining_ms = deadline_ms - self._clock.now_ms() - 2 * WAIT_MARGIN_MS
        request = ClaimStatusRequest(holder.claim_id, max(0.0, remaining_ms))
        if holder.vm == self._vm:
            return await self._wait_locally(request)
        timeout_ms = request.wait_ms + WAIT_MARGIN_MS
        body = _encode(request)
        reply = await self._peers.ask(holder.vm, "claim-hold", body, timeout_ms)
        status = (
            ClaimStatus(ClaimState.UNKNOWN)
            if reply is None
            else decode_body(reply, _STATUS)
        )
        if status.state is not ClaimState.UNKNOWN:
            return status
        return await self._find_copy(holder)

    async def _find_copy(self, holder: Claim) -> ClaimStatus:
        """:returns: the claim's status from a VM that has a copy of its answer"""
        own = self._tracker.find(holder.claim_id)
        if own.answer is not None:
            return own
        replies = await self._peers.ask_all(
            self._peers.list_vms() - {holder.vm},
            "claim-hold",
            _encode(ClaimStatusRequest(holder.claim_id)),
            self._settings.vote_timeout_ms,
        )
        statuses = [decode_body(reply, _STATUS) for reply in replies]
        copies = [status for status in statuses if status.answer is not None]
        return copies[0] if copies else ClaimStatus(ClaimState.UNKNOWN)

    async def _wait_locally(self, request: ClaimStatusRequest) -> ClaimStatus:
        try:
            async with asyncio.timeout(request.wait_ms / 1_000), self._changed:
                await self._changed.wait_for(
                    lambda: not self._is_open(request.claim_id)
                )
        except TimeoutError:
            pass
        return self._tracker.find(request.claim_id)

    def _is_open(self, claim_id: str) -> bool:
        state = self._tracker.find(claim_id).state
        return state in (ClaimState.CLAIMING, ClaimState.WON)

    async def notify(self) -> None:
        """Wake the tasks that wait for the end of a claim held here."""
        async with self._changed:
            self._changed.notify_all()

    async def _answer_status_request(self, sender: PeerIdentity, body: bytes) -> bytes:
        return _encode(await self._wait_locally(decode_body(body, _STATUS_REQUEST)))

    async def _import_answers(self, sender: PeerIdentity, body: bytes) -> bytes:
        for claim, answer in decode_body(body, _HANDOVER).answers:
            self._tracker.import_answer(claim, answer)
        return b""


__all__ = ("ClaimHolds",)
