"""The agent: the control plane process of one VM."""

from __future__ import annotations

from quetzaldeck.agent.service import AgentService
from quetzaldeck.agent.settings import AgentSettings

__all__ = ("AgentService", "AgentSettings")
