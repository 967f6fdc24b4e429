"""A call that must run at most once, protected by a claim on its idempotency key."""

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
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.pauses import PauseError, PauseGuard
from quetzaldeck.upstreams import ServiceAnswer

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.gateway.state import GatewayState

CLAIM_PATH = "/v1/claims"
RETRY_AFTER_MS = 1_000.0
"""Wait before a retry if the agent does not respond; it restarts within that time."""
AGENT_MARGIN_MS = 50.0
"""Added to the timeout of the request for a claim, for the round trip between gateway
and agent."""

_DECISION = JsonDecoder(ClaimDecision)
_AGENT_ERRORS = (aiohttp.ClientError, TimeoutError, OSError, msgspec.DecodeError)


class ClaimedCall:
    """Obtains a claim on entry, and reports the outcome to the agent on exit.

    :param client: HTTP client for the agent, owned by the creator of this object
    :param claim_request: the claim to request; its timeout starts now
    """

    def __init__(
        self,
        state: GatewayState,
        client: aiohttp.ClientSession,
        claim_request: ClaimRequest,
    ) -> None:
        self._state = state
        self._client = client
        self._claim_request = claim_request
        self._pause_guard = PauseGuard(
            state.clock,
            max_pause_ms=0.0,
            on_pause=lambda _: state.metrics.ended_claims.inc(),
        )
        self._started = self._pause_guard.begin()
        self._lease_ms = 0.0
        self._may_have_run = False
        self._answer: ServiceAnswer | None = None
        self._is_replayed = False

    async def __aenter__(self) -> ClaimedCall:
        try:
            decision = await self._request_claim()
        except BaseException as error:
            await asyncio.shield(self._report_end())
            if isinstance(error, _AGENT_ERRORS):
                raise _build_agent_error(error) from error
            raise
        if decision.failure is not None:
            raise RequestError(decision.failure)
        if decision.answer is not None:
            self._is_replayed = True
            self._answer = ServiceAnswer(*decision.answer)
        self._lease_ms = decision.lease_ms
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if not self._is_replayed:
            await asyncio.shield(self._report_end())

    @property
    def may_have_run(self) -> bool:
        """:returns: whether any byte of the call may have reached an upstream"""
        return self._may_have_run

    @property
    def answer(self) -> ServiceAnswer | None:
        """:returns: the answer, possibly that of an earlier run on another VM"""
        return self._answer

    def begin_dispatch(self) -> None:
        """Check the claim; must be called right before the first byte may be sent.

        If this VM was paused after the claim was granted, the voters may have dropped
        the claim meanwhile, and another VM may have run the call.

        :raises RequestError: if the call must no longer be dispatched
        """
        try:
            self._pause_guard.check(self._started, max_ms=self._lease_ms)
        except PauseError as error:
            ran = Ran.UNKNOWN if self._may_have_run else Ran.NO
            failure = Failure(Reason.DEADLINE_EXCEEDED, ran, detail=str(error))
            raise RequestError(failure) from error
        self._may_have_run = True

    def undo_dispatch(self) -> None:
        """Record that no byte can have reached the upstream."""
        self._may_have_run = False

    def store_answer(self, answer: ServiceAnswer) -> None:
        """Store the answer, to be replayed when the caller resends the call."""
        self._answer = answer

    async def _request_claim(self) -> ClaimDecision:
        timeout_ms = self._claim_request.timeout_ms + AGENT_MARGIN_MS
        async with (
            asyncio.timeout(timeout_ms / 1_000),
            self._client.post(
                self._state.settings.agent_address + CLAIM_PATH,
                data=msgspec.json.encode(self._claim_request),
            ) as response,
        ):
            response.raise_for_status()
            return _DECISION.decode(await response.read())

    async def _report_end(self) -> None:
        """Report the end of the call to the agent."""
        end = ClaimEnd(
            self._claim_request.claim_request_id,
            self._may_have_run,
            _to_kept_answer(self._answer),
        )
        await self._state.claim_ends.report(end)


def new_claim_request_id() -> str:
    """:returns: a unique id for a request for a claim"""
    return uuid.uuid4().hex


def _to_kept_answer(answer: ServiceAnswer | None) -> KeptAnswer | None:
    if answer is None:
        return None
    # aiohttp's header names are a str subclass that msgspec does not encode.
    headers = tuple((str(name), value) for name, value in answer.headers)
    return KeptAnswer(answer.status, headers, answer.body)


def _build_agent_error(error: BaseException) -> RequestError:
    detail = f"cannot request a claim from the agent of this VM: {error!r}"
    return RequestError(Failure(Reason.NO_QUORUM, Ran.NO, RETRY_AFTER_MS, detail))


__all__ = (
    "CLAIM_PATH",
    "ClaimedCall",
    "new_claim_request_id",
)
