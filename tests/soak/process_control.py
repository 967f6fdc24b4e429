"""Runs the gateway and agent of each VM as child processes of the run."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING

import yaml
from tests.soak.own import VmControl
from tests.system.processes import (
    ProgramProcess,
    VmProcesses,
    to_yaml,
    wait_listening,
)

from quetzaldeck.bundle.codec import to_plain

if TYPE_CHECKING:
    from pathlib import Path
    from types import TracebackType
    from typing import Any

    from quetzaldeck.agent import AgentSettings
    from quetzaldeck.gateway.settings import GatewaySettings
    from quetzaldeck.http import ListenAddress


class ProcessControl(VmControl):
    """Starts each program as a process and ends all of them on exit.

    :param directory: directory for settings and logs
    """

    def __init__(self, directory: Path) -> None:
        self._directory = directory
        self._vms: dict[str, VmProcesses] = {}

    async def __aenter__(self) -> ProcessControl:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for vm in self._vms.values():
            vm.gateway.end()
            vm.agent.end()

    async def start(self, agent: AgentSettings, gateway: GatewaySettings) -> None:
        """Start both programs of a VM and wait until both listen."""
        processes = VmProcesses(
            self._build("agent", agent.vm, agent, agent.listen),
            self._build("gateway", gateway.vm, gateway, gateway.listen),
        )
        self._vms[agent.vm] = processes
        processes.agent.start()
        processes.gateway.start()
        await asyncio.gather(*(wait_listening(p.address) for p in processes))

    async def kill(self, vm: str) -> None:
        """Kill both programs."""
        for process in self._vms[vm]:
            process.end()

    async def stop(self, vm: str) -> int:
        """Stop both programs gracefully (SIGTERM), the gateway first."""
        processes = self._vms[vm]
        for process in (processes.gateway, processes.agent):
            process.send(signal.SIGTERM)
        exit_code = await processes.gateway.wait()
        await processes.agent.wait()
        return exit_code

    async def pause(self, vm: str) -> None:
        """Suspend both programs (SIGSTOP)."""
        for process in self._vms[vm]:
            process.send(signal.SIGSTOP)

    async def resume(self, vm: str) -> None:
        """Resume both programs (SIGCONT)."""
        for process in self._vms[vm]:
            process.send(signal.SIGCONT)

    def _build(
        self, program: str, vm: str, settings: Any, listen: ListenAddress
    ) -> ProgramProcess:
        path = self._directory / f"{program}-{vm}.yaml"
        path.write_text(yaml.safe_dump(to_yaml(to_plain(settings))))
        return ProgramProcess(program, path, f"http://{listen.host}:{listen.port}")


__all__ = ("ProcessControl",)
