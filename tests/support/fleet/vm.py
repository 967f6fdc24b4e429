"""One entry VM of an in-process fleet."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.agent import AgentService
from quetzaldeck.gateway.service import GatewayService


class FleetVm(NamedTuple):
    """The two services of an entry VM."""

    agent: AgentService
    gateway: GatewayService


__all__ = ("FleetVm",)
