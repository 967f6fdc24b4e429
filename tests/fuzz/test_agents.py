"""Arbitrary requests to an agent are refused and do not change its state."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import pytest
import uvloop
from hypothesis import given
from hypothesis import strategies as st
from tests.support.fleet import Fleet, FleetSettings

from quetzaldeck.peers.seal import SEAL_HEADER

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.membership import MembershipView

KINDS = st.sampled_from(["gossip", "claim", "bundle", "x", "%2e%2e"])
SEALS = st.one_of(
    st.just(""),
    st.text(st.characters(min_codepoint=33, max_codepoint=126), max_size=200),
    st.lists(st.text("abc019=", max_size=20), max_size=9).map(".".join),
    st.lists(st.text("abc019=", max_size=20), max_size=9).map(",".join),
)


class RunningAgents:
    """A fleet of two VMs; the requests are sent to the agent of the first."""

    def __init__(self) -> None:
        self._runner = asyncio.Runner(loop_factory=uvloop.new_event_loop)
        settings = FleetSettings(n_vms=2, n_engines=1, n_services=0)
        self._fleet = self._runner.run(self._enter(Fleet(settings)))
        self._agent = self._fleet.vms["entry-1"].agent

    @staticmethod
    async def _enter(fleet: Fleet) -> Fleet:
        await fleet.__aenter__()
        async with asyncio.timeout(20):
            session = fleet.vms["entry-1"].agent.session
            while len(session.view.members) < len(fleet.vms):
                await asyncio.sleep(0.01)
        return fleet

    @property
    def view(self) -> MembershipView:
        """:returns: the agent's membership view"""
        return self._agent.session.view

    @property
    def bundle_version(self) -> int:
        """:returns: version of the bundle in force on the agent"""
        return self._agent.session.store.version

    def post(self, path: str, body: bytes, headers: dict[str, str]) -> int:
        """:returns: the status of the agent's response"""

        async def send() -> int:
            async with (
                asyncio.timeout(20),
                aiohttp.ClientSession() as client,
                client.post(
                    self._agent.address + path, data=body, headers=headers
                ) as response,
            ):
                await response.read()
                return response.status

        return self._runner.run(send())

    def close(self) -> None:
        """Stop the fleet."""
        self._runner.run(self._fleet.__aexit__(None, None, None))
        self._runner.close()


@pytest.fixture(scope="module")
def agents() -> Iterator[RunningAgents]:
    running = RunningAgents()
    yield running
    running.close()


@given(kind=KINDS, seal=SEALS, body=st.binary(max_size=200))
def test_peer_messages_without_a_valid_seal_change_nothing(
    agents: RunningAgents, kind: str, seal: str, body: bytes
) -> None:
    status = agents.post(f"/v1/peer/{kind}", body, {SEAL_HEADER: seal})
    assert status in (400, 401, 404)
    assert {member.vm for member in agents.view.members} == {"entry-1", "entry-2"}
    assert agents.bundle_version == 1


@given(body=st.binary(max_size=200))
def test_exchange_refuses_arbitrary_bodies(agents: RunningAgents, body: bytes) -> None:
    assert agents.post("/v1/exchange", body, {}) == 400
