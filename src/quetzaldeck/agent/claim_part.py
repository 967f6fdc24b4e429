"""The agent's part in claims: its voters, its claimant, and how they leave."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from quetzaldeck.agent.claim_coordinator import ClaimCoordinator
from quetzaldeck.agent.claim_peers import ClaimPeers
from quetzaldeck.agent.voter_groups import VoterGroups
from quetzaldeck.agent.voter_task import VoterTask
from quetzaldeck.tasks import run_tasks

if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from types import TracebackType

    from quetzaldeck.claims import ClaimSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.membership import Member, MembershipView
    from quetzaldeck.peers import PeerChannel, PeerIdentity
    from quetzaldeck.telemetry import AgentMetrics


class ClaimPart:
    """Runs the voters of this agent while the context is open.

    :param identity: this VM and the incarnation of its agent
    :param channel: authenticated messages to peers
    :param read_view: current membership
    :param find_member: current state of one other VM
    """

    def __init__(
        self,
        identity: PeerIdentity,
        channel: PeerChannel,
        settings: ClaimSettings,
        clock: Clock,
        metrics: AgentMetrics,
        *,
        random_state: random.Random,
        read_view: Callable[[], MembershipView],
        find_member: Callable[[str], Member | None],
    ) -> None:
        self._stack = AsyncExitStack()
        self._peers = ClaimPeers(channel, read_view, find_member)
        self.groups = VoterGroups(identity, clock, settings, read_view=read_view)
        self._task = VoterTask(self.groups, self._peers, settings, metrics)
        self.coordinator = ClaimCoordinator(
            vm=identity.vm,
            groups=self.groups,
            peers=self._peers,
            clock=clock,
            settings=settings,
            metrics=metrics,
            random_state=random_state,
        )

    async def __aenter__(self) -> ClaimPart:
        self._stack.push_async_callback(self._peers.close)
        await self._stack.enter_async_context(run_tasks(self._task.run()))
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    async def hand_over(self) -> None:
        """Copy the answers stored here to peers; called when no call is in progress."""
        await self.coordinator.holds.hand_over()

    async def leave(self) -> None:
        """Have this VM's voters removed from the voter sets."""
        await self._task.leave()


__all__ = ("ClaimPart",)
