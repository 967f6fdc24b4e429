"""A call that runs at most once, from its claim to its answer."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from quetzaldeck.claims.claim_tracker import KeptAnswer
from quetzaldeck.exchange.claim_messages import (
    ClaimDecision,
    ClaimEnd,
    ClaimRequest,
)
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.pauses import PauseError, PauseGuard
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import ServiceAnswer

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.gateway.state import GatewayState

CLAIM_PATH = "/v1/claims"
CLAIM_END_PATH = "/v1/claims/end"
END_TIMEOUT_MS = 1_000.0
"""For the agent on the same VM to take the end of a call."""
RETRY_AFTER_MS = 1_000.0
"""When to come back while the agent does not answer: it restarts within that time."""
AGENT_MARGIN_MS = 50.0
"""Left of a deadline for the way between gateway and agent."""

_DECISION = msgspec.json.Decoder(ClaimDecision)
_AGENT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError)


class ClaimedCall:
    """Wins the claim on entry; on exit the agent learns what became of the call.

    :param client: connections to the agent, owned by the caller
    :param order: the call; its timeout counts from now
    """

    def __init__(
        self, state: GatewayState, client: aiohttp.ClientSession, order: ClaimRequest
    ) -> None:
        self._state = state
        self._client = client
        self._order = order
        self._guard = PauseGuard(
            state.clock,
            max_pause_ms=0.0,
            on_pause=lambda _: state.metrics.void_permits.inc(),
        )
        self._started = self._guard.begin()
        self._lease_ms = 0.0
        self._has_run = False
        self._answer: ServiceAnswer | None = None
        self._is_relayed = False

    async def __aenter__(self) -> ClaimedCall:
        try:
            decision = await self._ask_agent()
        except BaseException as error:
            await asyncio.shield(self._tell_end())
            if isinstance(error, _AGENT_ERRORS):
                raise _refuse_without_agent(error) from error
            raise
        if decision.failure is not None:
            raise RequestError(decision.failure)
        if decision.answer is not None:
            self._is_relayed = True
            self._answer = ServiceAnswer(*decision.answer)
        self._lease_ms = decision.lease_ms
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._is_relayed:
            await asyncio.shield(self._tell_end())

    @property
    def has_run(self) -> bool:
        """:returns: whether any byte of the call may have reached an upstream"""
        return self._has_run

    @property
    def answer(self) -> ServiceAnswer | None:
        """:returns: the answer, also that of an earlier run on another VM"""
        return self._answer

    def begin_dispatch(self) -> None:
        """Check the claim; to be called right before the first byte may leave.

        A gateway that paused since it was granted the claim may wake when the
        voters have forgotten it and somebody else has run the call.

        :raises RequestError: if the call must not be dispatched any more
        """
        try:
            self._guard.check(self._started, max_ms=self._lease_ms)
        except PauseError as error:
            ran = Ran.UNKNOWN if self._has_run else Ran.NO
            failure = Failure(Reason.DEADLINE_EXCEEDED, ran, detail=str(error))
            raise RequestError(failure) from error
        self._has_run = True

    def undo_dispatch(self) -> None:
        """Note that it is proved that no byte reached the upstream."""
        self._has_run = False

    def keep(self, answer: ServiceAnswer) -> None:
        """Keep the answer for resends."""
        self._answer = answer

    async def _ask_agent(self) -> ClaimDecision:
        timeout_ms = self._order.timeout_ms + AGENT_MARGIN_MS
        async with (
            asyncio.timeout(timeout_ms / 1_000),
            self._client.post(
                self._state.settings.agent_address + CLAIM_PATH,
                data=msgspec.json.encode(self._order),
            ) as response,
        ):
            response.raise_for_status()
            return _DECISION.decode(await response.read())

    async def _tell_end(self) -> None:
        """Tell the agent, as far as it can be reached.

        Unheard, the claim stays held until the window has passed: resends are then
        told ``ran: unknown``, which is true.
        """
        end = ClaimEnd(
            self._order.claim_request_id, self._has_run, _to_kept(self._answer)
        )
        try:
            async with (
                asyncio.timeout(END_TIMEOUT_MS / 1_000),
                self._client.post(
                    self._state.settings.agent_address + CLAIM_END_PATH,
                    data=msgspec.json.encode(end),
                ) as response,
            ):
                response.raise_for_status()
        except _AGENT_ERRORS as error:
            log_event("claim_end_not_told", level="WARNING", error=repr(error))


def new_order_id() -> str:
    """:returns: an id that no other order has"""
    return uuid.uuid4().hex


def _to_kept(answer: ServiceAnswer | None) -> KeptAnswer | None:
    if answer is None:
        return None
    # The client library's header names are of a type that no codec takes.
    headers = tuple((str(name), value) for name, value in answer.headers)
    return KeptAnswer(answer.status, headers, answer.body)


def _refuse_without_agent(error: BaseException) -> RequestError:
    detail = f"the agent of this VM cannot be asked for a claim: {error!r}"
    return RequestError(Failure(Reason.NO_QUORUM, Ran.NO, RETRY_AFTER_MS, detail))


__all__ = (
    "CLAIM_END_PATH",
    "CLAIM_PATH",
    "ClaimedCall",
    "new_order_id",
)
