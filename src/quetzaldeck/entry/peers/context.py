"""What the exchange between VMs uses of the state of its VM."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    import random

    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.peers.permits import Permits
    from quetzaldeck.entry.rate_limits import RateLimits
    from quetzaldeck.entry.settings import EntrySettings
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.telemetry import GatewayMetrics


class PeerContext(Protocol):
    """The parts of a VM that send updates to other VMs, or receive them.

    :param settings: may be replaced while the VM runs
    """

    settings: EntrySettings
    clock: Clock
    dispatch: DispatchTask
    metrics: GatewayMetrics
    permits: Permits
    rate_limits: RateLimits
    random_state: random.Random


__all__ = ("PeerContext",)
