"""Runs the programs as real processes on free ports, with generated settings.

Each process is killed by its own id only, never by name, so that other runs on the
machine are not affected.
"""

from __future__ import annotations

import asyncio
from contextlib import ExitStack
from pathlib import Path
from typing import TYPE_CHECKING, Any, NamedTuple

import yaml
from tests.ports import LOOPBACK, choose_port
from tests.support.example_bundle import (
    API_KEY,
    MODEL,
    FleetUpstreams,
    build_fleet_bundle,
    zone_of,
)
from tests.system.probes import inject_faults, post_json, wait_listening, wait_ready
from tests.system.program_process import ProgramProcess

from quetzaldeck.agent import AgentSettings
from quetzaldeck.agent.settings import PlatformSettings
from quetzaldeck.bundle.codec import to_plain
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle
from quetzaldeck.directory import VmEntry, VmRole
from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.settings import GatewaySettings, ShutdownSettings
from quetzaldeck.http import ListenAddress
from quetzaldeck.peers import PeerSettings
from quetzaldeck.standin import StandinSettings
from quetzaldeck.standin.settings import (
    ConfigurationServiceSettings,
    EngineSettings,
    ServiceSettings,
    VmListSettings,
)

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.bundle import Bundle

KEY_ID = "test"
PEER_SECRET = "a-secret-of-the-test-fleet-only-0123456789"
FAST_ENGINE = EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=5.0)


class ProcessFleetSettings(NamedTuple):
    """Size and parameters of a fleet of processes.

    :param max_descriptors: of each process; ``None``: unchanged
    """

    n_vms: int = 2
    n_engines: int = 2
    n_services: int = 1
    zones: tuple[str, ...] = ("ktm-a", "ktm-b", "ktm-c")
    profile: EngineProfile = FAST_ENGINE
    shutdown: ShutdownSettings = ShutdownSettings(balancer_lag_ms=500)
    vm_list_lag_ms: int = 200
    max_descriptors: int | None = None


class VmProcesses(NamedTuple):
    """The two programs of an entry VM."""

    agent: ProgramProcess
    gateway: ProgramProcess


class ProcessFleet:
    """Stand-ins and entry VMs as processes; a context manager.

    :param directory: where settings, bundle and logs are written
    """

    def __init__(
        self, directory: Path, settings: ProcessFleetSettings | None = None
    ) -> None:
        self._directory = directory
        self._settings = settings or ProcessFleetSettings()
        self._stack = ExitStack()
        self._private_key, self._public_key = generate_key()
        self.platform: ProgramProcess
        self.configuration_address = ""
        self.vm_list_address = ""
        self.vms: dict[str, VmProcesses] = {}
        self.engines: dict[str, ProgramProcess] = {}
        self.services: dict[str, ProgramProcess] = {}

    async def __aenter__(self) -> ProcessFleet:
        try:
            await self._start()
        except BaseException:
            self._stack.close()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def gateway_addresses(self) -> tuple[str, ...]:
        """:returns: base URLs of all gateways, including those that have exited"""
        return tuple(vm.gateway.address for vm in self.vms.values())

    def zone_of(self, name: str) -> str:
        """:returns: zone of a VM or upstream, chosen by the number in its name"""
        return zone_of(name, self._settings.zones)

    def build_bundle(self, version: int = 1) -> Bundle:
        """:returns: a bundle that gives one customer access to all stand-ins"""
        upstreams = FleetUpstreams(
            {name: engine.address for name, engine in self.engines.items()},
            {name: service.address for name, service in self.services.items()},
            self._settings.zones,
            self._settings.profile.kv_tokens,
        )
        return build_fleet_bundle(upstreams, version)

    def publish(self, bundle: Bundle) -> None:
        """Sign a bundle and write it to the file that the configuration service reads.

        The file is replaced atomically, so the service never reads a part of it.
        """
        envelope = sign_bundle(bundle, KEY_ID, self._private_key)
        path = self._directory / "bundle.signed"
        partial = path.with_suffix(".partial")
        partial.write_bytes(encode_envelope(envelope))
        partial.replace(path)

    async def start_vm(self, name: str) -> VmProcesses:
        """Start or restart an entry VM, and wait until it is ready."""
        vm = self.vms.get(name) or self._build_vm(name)
        self.vms[name] = vm
        vm.agent.start()
        vm.gateway.start()
        await self.set_vms()
        await wait_ready(vm.gateway.address)
        return vm

    async def set_vms(self, vms: tuple[VmEntry, ...] | None = None) -> None:
        """Set the platform's list; by default it contains all VMs as live."""
        if vms is None:
            vms = tuple(
                VmEntry(name, VmRole.ENTRY, vm.agent.address, self.zone_of(name))
                for name, vm in self.vms.items()
            )
        await post_json(self.vm_list_address + "/standin/vms", to_plain(vms))

    async def _start(self) -> None:
        for index in range(self._settings.n_engines):
            name = f"engine-{index + 1}"
            engine = EngineSettings(
                name, _choose_address(), (f"{MODEL}:1",), self._settings.profile
            )
            self.engines[name] = self._start_standin(
                name, StandinSettings(engines=(engine,)), engine.listen
            )
        for index in range(self._settings.n_services):
            name = f"desk-{index + 1}"
            service = ServiceSettings(name, _choose_address())
            self.services[name] = self._start_standin(
                name, StandinSettings(services=(service,)), service.listen
            )
        self._start_platform()
        self.publish(self.build_bundle())
        await wait_listening(self.vm_list_address)
        vm_names = [f"entry-{index + 1}" for index in range(self._settings.n_vms)]
        await asyncio.gather(*(self.start_vm(name) for name in vm_names))

    def _start_platform(self) -> None:
        configuration = ConfigurationServiceSettings(
            _choose_address(), self._directory / "bundle.signed"
        )
        vm_list = VmListSettings(_choose_address(), self._settings.vm_list_lag_ms)
        self.configuration_address = _url_of(configuration.listen)
        self.vm_list_address = _url_of(vm_list.listen)
        self.platform = self._start_standin(
            "platform", StandinSettings(configuration, vm_list), vm_list.listen
        )

    def _start_standin(
        self, name: str, settings: StandinSettings, listen: ListenAddress
    ) -> ProgramProcess:
        process = self._build_process("standin", name, settings, listen)
        process.start()
        return process

    def _build_vm(self, name: str) -> VmProcesses:
        platform = PlatformSettings(
            self.configuration_address, self.vm_list_address, vm_list_interval_ms=100
        )
        agent = self.build_agent_settings(name, platform)
        gateway = GatewaySettings(
            name,
            self.zone_of(name),
            _choose_address(),
            _url_of(agent.listen),
            exchange_interval_ms=50,
            shutdown=self._settings.shutdown,
        )
        return VmProcesses(
            self._build_process("agent", f"agent-{name}", agent, agent.listen),
            self._build_process("gateway", f"gateway-{name}", gateway, gateway.listen),
        )

    def build_agent_settings(
        self, name: str, platform: PlatformSettings
    ) -> AgentSettings:
        """:returns: settings of the agent on VM ``name``"""
        return AgentSettings(
            name,
            self.zone_of(name),
            _choose_address(),
            platform,
            {KEY_ID: self._public_key},
            gateway_quiet_ms=1_000,
            peers=PeerSettings({KEY_ID: PEER_SECRET}),
            join_timeout_ms=2_000,
        )

    def _build_process(
        self, program: str, name: str, settings: Any, listen: ListenAddress
    ) -> ProgramProcess:
        path = self._directory / f"{name}.yaml"
        path.write_text(yaml.safe_dump(to_yaml(to_plain(settings))))
        process = ProgramProcess(program, path, _url_of(listen))
        process.max_descriptors = self._settings.max_descriptors
        self._stack.callback(process.end)
        return process


def _choose_address() -> ListenAddress:
    return ListenAddress(LOOPBACK, choose_port())


def _url_of(listen: ListenAddress) -> str:
    return f"http://{listen.host}:{listen.port}"


def to_yaml(value: Any) -> Any:
    """:returns: plain data converted to types that the YAML writer supports"""
    if isinstance(value, dict):
        return {str(key): to_yaml(item) for key, item in value.items()}
    if isinstance(value, list):
        return [to_yaml(item) for item in value]
    return str(value) if isinstance(value, Path | str) else value


__all__ = (
    "API_KEY",
    "MODEL",
    "ProcessFleet",
    "ProcessFleetSettings",
    "ProgramProcess",
    "VmProcesses",
    "inject_faults",
    "post_json",
    "to_yaml",
    "wait_listening",
    "wait_ready",
)
