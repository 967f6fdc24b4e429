"""Tests that a claim cannot be used any more after a pause of the gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest
import uvloop
from aiohttp import ClientSession, web

from quetzaldeck.claims import KeptAnswer
from quetzaldeck.clock import ManualClock
from quetzaldeck.exchange.claim_messages import (
    ClaimDecision,
    ClaimEnd,
    ClaimRequest,
    ClaimVerdict,
)
from quetzaldeck.gateway.claimed_call import (
    CLAIM_END_PATH,
    CLAIM_PATH,
    ClaimedCall,
    new_claim_request_id,
)
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.http import HttpServiceBase, ListenAddress, json_response
from quetzaldeck.outcomes import Ran, Reason
from quetzaldeck.telemetry import GatewayMetrics
from quetzaldeck.upstreams import ServiceAnswer

if TYPE_CHECKING:
    from quetzaldeck.gateway.state import GatewayState

LEASE_MS = 2_000.0
HOUR_MS = 3_600_000.0


class FakeAgent(HttpServiceBase):
    """Grants every claim and records the ends of the calls."""

    def __init__(self) -> None:
        super().__init__(ListenAddress())
        self.ends: list[ClaimEnd] = []

    async def open(self) -> web.Application:
        application = web.Application()
        application.add_routes(
            [web.post(CLAIM_PATH, self._claim), web.post(CLAIM_END_PATH, self._end)]
        )
        return application

    async def close(self) -> None:
        """Do nothing; there are no tasks to stop."""

    async def _claim(self, request: web.Request) -> web.Response:
        return json_response(ClaimDecision(ClaimVerdict.GRANTED, LEASE_MS))

    async def _end(self, request: web.Request) -> web.Response:
        self.ends.append(msgspec.json.decode(await request.read(), type=ClaimEnd))
        return json_response({})


class FakeSettings:
    """The only setting that a claimed call reads."""

    def __init__(self, agent_address: str) -> None:
        self.agent_address = agent_address


class FakeState:
    """The part of the gateway's state that a claimed call needs."""

    def __init__(self, agent_address: str, clock: ManualClock) -> None:
        self.settings = FakeSettings(agent_address)
        self.clock = clock
        self.metrics = GatewayMetrics()


async def run_call(pause_ms: float) -> FakeAgent:
    clock = ManualClock()
    agent = FakeAgent()
    await agent.start()
    state: GatewayState = FakeState(agent.address, clock)  # type: ignore[assignment]
    claim_request = ClaimRequest(
        new_claim_request_id(), "club", "key", "digest", LEASE_MS
    )
    try:
        async with (
            ClientSession() as client,
            ClaimedCall(state, client, claim_request) as call,
        ):
            clock.advance(pause_ms)
            call.begin_dispatch()
            call.store_answer(ServiceAnswer(200, (), b"booked"))
    finally:
        await agent.stop()
        assert len(agent.ends) == 1
    return agent


def test_begin_dispatch_allows_a_call_within_its_lease() -> None:
    agent = uvloop.run(run_call(LEASE_MS - 1))
    end = agent.ends[0]
    assert end.has_run
    assert end.answer == KeptAnswer(200, (), b"booked")


def test_begin_dispatch_refuses_after_a_pause() -> None:
    """Guards against running a call twice after the gateway was paused.

    The pause of an hour follows the grant of the claim. By then the voters have dropped
    the key, and another VM may have run the call.
    """
    with pytest.raises(RequestError) as caught:
        uvloop.run(run_call(HOUR_MS))
    assert caught.value.failure.reason is Reason.DEADLINE_EXCEEDED
    assert caught.value.failure.ran is Ran.NO
