"""Claim requests that arrive while voters are still joining a voter set."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest
import uvloop

from quetzaldeck.agent import claim_coordinator
from quetzaldeck.agent.claim_coordinator import ClaimCoordinator
from quetzaldeck.claims import ClaimSettings, Verdict, Vote, VoterId, make_timed_key
from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.exchange.claim_messages import ClaimRequest, ClaimVerdict
from quetzaldeck.outcomes import Ran, Reason
from quetzaldeck.telemetry import AgentMetrics

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzaldeck.claims import Release, VoteRequest
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.exchange.claim_messages import ClaimDecision

SETTINGS = ClaimSettings(sync_interval_ms=80)
LONG_ABSTENTION_MS = 60_000.0


class _Voter:
    """Abstains in its first ``n_abstentions`` votes, then grants every claim."""

    voters_to_ask: frozenset[str] = frozenset()

    def __init__(self, n_abstentions: int, retry_after_ms: float) -> None:
        self.n_abstentions = n_abstentions
        self.retry_after_ms = retry_after_ms
        self.n_votes = 0

    def find(self, key: str) -> _Voter:
        return self

    def vote(self, request: VoteRequest) -> Vote:
        self.n_votes += 1
        voter_id = VoterId("a")
        if self.n_votes <= self.n_abstentions:
            return Vote(
                voter_id,
                Verdict.ABSTAINED,
                (),
                retry_after_ms=self.retry_after_ms,
                why="not in a voter set",
            )
        return Vote(voter_id, Verdict.GRANTED, (frozenset({voter_id}),))

    def release(self, release: Release) -> None:
        pass


class _NoPeers:
    async def ask_each(self, *args: object) -> AsyncIterator[bytes]:
        return
        yield

    async def ask_all(self, *args: object) -> list[bytes]:
        return []

    def start(self, coroutine: object) -> None:
        coroutine.close()  # type: ignore[attr-defined]

    def register(self, *args: object) -> None:
        pass


class _WaitOnClock:
    """Stands in for :mod:`asyncio`: a wait takes exactly its time on a clock."""

    def __init__(self, clock: ManualClock) -> None:
        self._clock = clock

    async def sleep(self, delay_s: float) -> None:
        self._clock.advance(delay_s * MS_PER_SECOND)


async def decide(
    voter: _Voter, timeout_ms: float, clock: ManualClock
) -> tuple[ClaimDecision, float]:
    """:returns: the decision, and the time until it was made in milliseconds"""
    random_state = random.Random(1)
    coordinator = ClaimCoordinator(
        vm="a",
        groups=voter,  # type: ignore[arg-type]
        peers=_NoPeers(),  # type: ignore[arg-type]
        clock=clock,
        settings=SETTINGS,
        metrics=AgentMetrics(),
        random_state=random_state,
    )
    key = make_timed_key(clock, random_state)
    request = ClaimRequest("request", "customer", key, "digest", timeout_ms)
    started_ms = clock.now_ms()
    return await coordinator.decide(request), clock.now_ms() - started_ms


@pytest.fixture
def waits_on_clock(clock: ManualClock, monkeypatch: pytest.MonkeyPatch) -> ManualClock:
    """:returns: a clock that the waits between the rounds of votes advance"""
    monkeypatch.setattr(claim_coordinator, "asyncio", _WaitOnClock(clock))
    return clock


def test_claim_waits_until_voters_have_joined(waits_on_clock: ManualClock) -> None:
    """A booking that arrived while the first voter set grew was refused.

    Four rounds, as many as competing claimants need, ended before the second of the
    voters had joined.
    """
    voter = _Voter(8, SETTINGS.sync_interval_ms)
    decision, _ = uvloop.run(decide(voter, 5_000.0, waits_on_clock))
    assert decision.verdict is ClaimVerdict.GRANTED


@pytest.mark.parametrize(
    ("retry_after_ms", "timeout_ms", "min_spent_ms", "max_spent_ms"),
    [
        pytest.param(SETTINGS.sync_interval_ms, 300.0, 200.0, 300.0, id="deadline"),
        pytest.param(
            LONG_ABSTENTION_MS, 5_000.0, 0.0, 50.0, id="known to abstain longer"
        ),
    ],
)
def test_claim_is_refused_as_soon_as_voters_cannot_vote_in_time(
    retry_after_ms: float,
    timeout_ms: float,
    min_spent_ms: float,
    max_spent_ms: float,
    waits_on_clock: ManualClock,
) -> None:
    """Guards against a refusal after the deadline, when the caller has left.

    The time is that of the waits alone, which does not depend on the machine.
    """
    voter = _Voter(1_000, retry_after_ms)
    decision, spent_ms = uvloop.run(decide(voter, timeout_ms, waits_on_clock))
    assert decision.failure is not None
    assert (decision.failure.reason, decision.failure.ran) == (Reason.NO_QUORUM, Ran.NO)
    assert min_spent_ms <= spent_ms < max_spent_ms
