"""Interface by which a fault run starts, stops and pauses the programs of VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.agent import AgentSettings
    from quetzaldeck.gateway.settings import GatewaySettings


class VmControl(ABC):
    """Runs the gateway and the agent of each VM."""

    @abstractmethod
    async def start(self, agent: AgentSettings, gateway: GatewaySettings) -> None:
        """Start both programs of a VM and wait until both listen."""

    @abstractmethod
    async def kill(self, vm: str) -> None:
        """Kill both programs."""

    @abstractmethod
    async def stop(self, vm: str) -> int:
        """Stop both programs gracefully, the gateway first.

        :returns: the gateway's exit code
        """

    @abstractmethod
    async def pause(self, vm: str) -> None:
        """Suspend both programs."""

    @abstractmethod
    async def resume(self, vm: str) -> None:
        """Resume both programs."""


__all__ = ("VmControl",)
