"""Rate limits of upstreams, and permits for them, in the messages between VMs."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.entry.peers.messages import (
    ColdTime,
    PeerMessage,
    build_cold_update,
    build_limit_update,
    build_permit_answer,
    read_limit_update,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from quetzaldeck.entry.peers.context import PeerContext
    from quetzaldeck.entry.peers.messages import LimitUpdate, PermitRequest

MAX_LISTED_LIMITS = 8
"""Rate limits in one greeting, so that it fits into one packet with the addresses."""


class RateLimitExchange:
    """Tells other VMs what upstreams say of their limits, and answers permit requests.

    :param vm: id of this incarnation of this VM
    :param send: sends a message to the VM at an address
    """

    def __init__(
        self, context: PeerContext, vm: str, send: Callable[[PeerMessage, str], None]
    ) -> None:
        self._clock = context.clock
        self._limits = context.rate_limits
        self._permits = context.permits
        self._random_state = context.random_state
        self._vm = vm
        self._send = send

    def handle(self, message: PeerMessage, address: str) -> None:
        """Handle what a message says of rate limits and permits."""
        self.note_updates(message.limits, address)
        request, answer = message.permit_request, message.permit_answer
        if request is not None:
            self._answer(request, address)
        if answer is not None:
            self._permits.client.note_answer(answer)

    def note_updates(self, updates: Iterable[LimitUpdate], peer: str) -> None:
        """Note what upstreams said to another VM."""
        uptime_ms = self._clock.uptime_ms()
        for update in updates:
            limit = update.requests_per_s
            if isinstance(limit, ColdTime):
                self._limits.note_peer_cold(
                    update.upstream, update.incarnation, limit.cold_ms
                )
            else:
                statement = read_limit_update(update, uptime_ms)
                self._limits.note_peer(statement, peer=peer)

    def request_permit(self, address: str, request: PermitRequest) -> None:
        """Send a permit request to the VM at an address."""
        self._send(PeerMessage(self._vm, permit_request=request), address)

    def list_updates(self, upstream: str = "") -> tuple[LimitUpdate, ...]:
        """List what upstreams said of their limits.

        :param upstream: the only one to list; ``""``: all, a random choice if there are
            too many for a message
        """
        uptime_ms = self._clock.uptime_ms()
        updates = [
            build_limit_update(statement, uptime_ms)
            for statement in self._limits.list_statements()
            if upstream in ("", statement.upstream)
        ]
        if len(updates) > MAX_LISTED_LIMITS:
            updates = self._random_state.sample(updates, MAX_LISTED_LIMITS)
        return tuple(updates)

    def list_cold_updates(self, upstream: str = "") -> tuple[LimitUpdate, ...]:
        """List the replicas that responses to this VM have shown to be cold.

        Store entries reach all VMs, and what only this VM presumes may be the fault of
        its path. What other VMs have said is not repeated, so that it ends.

        :param upstream: the only one to list; ``""``: all, a random choice if there are
            too many for a message
        """
        uptime_ms = self._clock.uptime_ms()
        updates = [
            build_cold_update(claim, uptime_ms)
            for claim in self._limits.list_shown_cold()
            if upstream in ("", claim.upstream)
        ]
        if len(updates) > MAX_LISTED_LIMITS:
            updates = self._random_state.sample(updates, MAX_LISTED_LIMITS)
        return tuple(updates)

    def _answer(self, request: PermitRequest, address: str) -> None:
        upstream = request.limit.upstream
        self.note_updates((request.limit,), address)
        is_cold = isinstance(request.limit.requests_per_s, ColdTime)
        permit = self._permits.issue(
            upstream, request.max_wait_ms, is_known_cold=is_cold
        )
        answer = PeerMessage(
            self._vm,
            limits=self.list_updates(upstream) + self.list_cold_updates(upstream),
            permit_answer=build_permit_answer(request.number, permit),
        )
        self._send(answer, address)


__all__ = ("RateLimitExchange",)
