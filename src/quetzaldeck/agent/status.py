"""The agent's status at ``GET /v1/status``."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypedDict

from quetzaldeck.version import __version__

if TYPE_CHECKING:
    from quetzaldeck.agent.session import AgentSession


class AgentStatus(TypedDict):
    """State of one agent.

    :param bundle_digest: tells bundles of the same version with different contents
        apart
    """

    program: str
    version: str
    vm: str
    availability_zone: str
    phase: str
    bundle_version: int
    bundle_digest: str
    bundle_detail: str
    is_gateway_gone: bool


def build_status(session: AgentSession) -> AgentStatus:
    """:returns: the agent's current state"""
    store = session.store
    return {
        "program": "agent",
        "version": __version__,
        "vm": session.settings.vm,
        "availability_zone": session.settings.availability_zone,
        "phase": "leaving" if session.is_leaving else "serving",
        "bundle_version": store.version,
        "bundle_digest": f"{store.digest:016x}",
        "bundle_detail": store.detail,
        "is_gateway_gone": session.gateway_watch.is_gone,
    }


__all__ = ("AgentStatus", "build_status")
