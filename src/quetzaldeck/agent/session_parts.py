"""What the tasks of an agent need of its session."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random

    from quetzaldeck.agent.bundle_exchange import BundleExchange
    from quetzaldeck.agent.settings import AgentSettings
    from quetzaldeck.bundle.store import BundleStore
    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions import LoadReport
    from quetzaldeck.directory import VmEntry
    from quetzaldeck.dissemination import RecordStore
    from quetzaldeck.membership import Membership, MembershipView
    from quetzaldeck.peers import HmacPeerChannel, PeerIdentity
    from quetzaldeck.reclaim import OwnerRegistry
    from quetzaldeck.telemetry import AgentMetrics


class SessionParts(Protocol):
    """The parts of a session that its tasks share."""

    clock: Clock
    metrics: AgentMetrics
    random_state: random.Random
    store: BundleStore
    owners: OwnerRegistry
    records: RecordStore
    membership: Membership
    channel: HmacPeerChannel
    bundle_exchange: BundleExchange

    @property
    def settings(self) -> AgentSettings:
        """:returns: the settings of the agent"""

    @property
    def identity(self) -> PeerIdentity:
        """:returns: VM and incarnation of the agent"""

    @property
    def view(self) -> MembershipView:
        """:returns: the VMs, as this one knows them"""

    @property
    def leaving_upstreams(self) -> tuple[str, ...]:
        """:returns: upstreams that get no new work"""

    @property
    def is_ready(self) -> bool:
        """:returns: whether the gateway may serve with the bundle in force"""

    def is_watcher(self) -> bool:
        """:returns: whether this VM watches the configuration service"""

    def list_loads(self) -> tuple[LoadReport, ...]:
        """:returns: the newest load report of each upstream"""

    def apply_list(self, vms: tuple[VmEntry, ...]) -> None:
        """Use a list of VMs that was read."""


__all__ = ("SessionParts",)
