"""How claims ended: here, or at the VM that holds them."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.claims import Claim, ClaimState, ClaimStatus
from quetzaldeck.claims.claimant_messages import AnswerHandover, ClaimStatusRequest
from quetzaldeck.http import decode_body

if TYPE_CHECKING:
    import random

    from quetzaldeck.agent.claim_peers import ClaimPeers
    from quetzaldeck.claims import ClaimSettings, ClaimTracker
    from quetzaldeck.clock import Clock
    from quetzaldeck.peers import PeerIdentity

ATTACH_MARGIN_MS = 100.0
"""Left of a deadline for the way back, when a holder is asked to wait for an end."""

N_ANSWER_KEEPERS = 2
"""VMs that take over the answers of one that leaves: one may leave right after it."""

_HOLD = msgspec.json.Decoder(ClaimStatus)
_HOLD_REQUEST = msgspec.json.Decoder(ClaimStatusRequest)
_HANDOVER = msgspec.json.Decoder(AnswerHandover)
_encode = msgspec.json.encode


class ClaimHolds:
    """Waits for the ends of claims, and tells other VMs of those held here.

    :param vm: this VM
    :param book: the claims of this VM
    """

    def __init__(
        self,
        *,
        vm: str,
        book: ClaimTracker,
        peers: ClaimPeers,
        clock: Clock,
        settings: ClaimSettings,
        random_state: random.Random,
    ) -> None:
        self._vm = vm
        self._book = book
        self._peers = peers
        self._clock = clock
        self._settings = settings
        self._random = random_state
        self._changed = asyncio.Condition()
        peers.register("claim-hold", self._answer_hold)
        peers.register("claim-answers", self._take_answers)

    async def hand_over(self) -> None:
        """Give the answers kept here to peers, for resends that come later."""
        answers = self._book.list_finished()
        if not answers:
            return
        body = _encode(AnswerHandover(answers))
        n_keepers = 0
        peers = sorted(self._peers.list_live())
        self._random.shuffle(peers)
        for vm in peers:
            reply = await self._peers.ask(
                vm, "claim-answers", body, self._settings.vote_timeout_ms
            )
            n_keepers += reply is not None
            if n_keepers == N_ANSWER_KEEPERS:
                return

    async def read(self, holder: Claim, deadline_ms: float) -> ClaimStatus:
        """:returns: where a claim stands, once its call has ended or time is up"""
        left_ms = deadline_ms - self._clock.now_ms() - 2 * ATTACH_MARGIN_MS
        request = ClaimStatusRequest(holder.claim_id, max(0.0, left_ms))
        if holder.vm == self._vm:
            return await self._wait_hold(request)
        timeout_ms = request.wait_ms + ATTACH_MARGIN_MS
        body = _encode(request)
        reply = await self._peers.ask(holder.vm, "claim-hold", body, timeout_ms)
        hold = (
            ClaimStatus(ClaimState.UNKNOWN)
            if reply is None
            else decode_body(reply, _HOLD)
        )
        if hold.state is not ClaimState.UNKNOWN:
            return hold
        return await self._find_kept(holder)

    async def _find_kept(self, holder: Claim) -> ClaimStatus:
        """:returns: the claim's end from a VM that took it over, if there is one"""
        own = self._book.find(holder.claim_id)
        if own.answer is not None:
            return own
        replies = await self._peers.ask_all(
            self._peers.list_vms() - {holder.vm},
            "claim-hold",
            _encode(ClaimStatusRequest(holder.claim_id)),
            self._settings.vote_timeout_ms,
        )
        holds = [decode_body(reply, _HOLD) for reply in replies]
        kept = [hold for hold in holds if hold.answer is not None]
        return kept[0] if kept else ClaimStatus(ClaimState.UNKNOWN)

    async def _wait_hold(self, request: ClaimStatusRequest) -> ClaimStatus:
        try:
            async with asyncio.timeout(request.wait_ms / 1_000), self._changed:
                await self._changed.wait_for(
                    lambda: not self._is_open(request.claim_id)
                )
        except TimeoutError:
            pass
        return self._book.find(request.claim_id)

    def _is_open(self, claim_id: str) -> bool:
        state = self._book.find(claim_id).state
        return state in (ClaimState.CLAIMING, ClaimState.WON)

    async def notify(self) -> None:
        """Wake those who wait for the end of a claim held here."""
        async with self._changed:
            self._changed.notify_all()

    async def _answer_hold(self, sender: PeerIdentity, body: bytes) -> bytes:
        return _encode(await self._wait_hold(decode_body(body, _HOLD_REQUEST)))

    async def _take_answers(self, sender: PeerIdentity, body: bytes) -> bytes:
        for claim, answer in decode_body(body, _HANDOVER).answers:
            self._book.import_answer(claim, answer)
        return b""


__all__ = ("ClaimHolds",)
