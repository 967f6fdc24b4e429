"""The status of a gateway, served at ``GET /v1/status``."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from quetzaldeck.version import __version__

if TYPE_CHECKING:
    from quetzaldeck.gateway.state import GatewayState


class GatewayStatus(TypedDict):
    """Status of one gateway.

    ``agent_silent_ms`` is the time since the last response of the agent; ``None`` if
    there was none.
    """

    program: str
    version: str
    vm: str
    incarnation: str
    availability_zone: str
    phase: str
    bundle_version: int
    n_in_flight: int
    n_queued: int
    n_running: int
    agent_silent_ms: float | None


def build_status(state: GatewayState) -> GatewayStatus:
    """:returns: the gateway's current status"""
    response_ms = state.last_agent_response_ms
    return {
        "program": "gateway",
        "version": __version__,
        "vm": state.owner.vm,
        "incarnation": state.owner.incarnation,
        "availability_zone": state.settings.availability_zone,
        "phase": state.drain.phase.value,
        "bundle_version": state.bundle_version,
        "n_in_flight": len(state.in_flight),
        "n_queued": state.dispatch.n_queued,
        "n_running": state.dispatch.n_running,
        "agent_silent_ms": None
        if response_ms is None
        else state.clock.now_ms() - response_ms,
    }


__all__ = ("GatewayStatus", "build_status")
