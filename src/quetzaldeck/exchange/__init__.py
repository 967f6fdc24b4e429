"""Messages between the gateway and the agent of one VM."""

from __future__ import annotations

from quetzaldeck.exchange.messages import AgentView, GatewayReport

__all__ = ("AgentView", "GatewayReport")
