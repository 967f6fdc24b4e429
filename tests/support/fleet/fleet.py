"""A small fleet in one process, on free loopback ports, for tests and measurements."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

from tests.support.example_bundle import (
    API_KEY,
    MODEL,
    SERVICE,
    FleetUpstreams,
    build_fleet_bundle,
    zone_of,
)
from tests.support.fleet.partition import Partition
from tests.support.fleet.settings import FleetSettings
from tests.support.fleet.vm import FleetVm
from tests.support.fleet.waiting import wait_for

from quetzaldeck.agent import AgentService, AgentSettings
from quetzaldeck.agent.settings import PlatformSettings
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle
from quetzaldeck.clock import Clock
from quetzaldeck.demo.session import wait_until_ready
from quetzaldeck.directory import VmEntry, VmRole, VmState
from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.http import ListenAddress
from quetzaldeck.peers import PeerSettings
from quetzaldeck.standin import (
    ConfigurationServiceStandin,
    EngineStandin,
    PlainServiceStandin,
    VmListStandin,
    WeightStoreStandin,
)
from quetzaldeck.standin.settings import (
    ConfigurationServiceSettings,
    EngineSettings,
    ServiceSettings,
    VmListSettings,
)

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.bundle import Bundle

KEY_ID = "fleet"
PEER_SECRET = "shared-by-the-test-fleet"
WEIGHT_LOADS_PER_MINUTE = 300.0
FREE_PORT = ListenAddress("127.0.0.1", 0)


class Execution(NamedTuple):
    """One execution of a call by a plain service."""

    at_ms: float
    service: str
    key: str
    request_id: str


class VmEvent(NamedTuple):
    """A start or the end of an entry VM."""

    at_ms: float
    action: str
    vm: str


class Fleet:
    """Stand-ins and entry VMs; VMs can be started and stopped individually.

    :param settings: size and parameters of the fleet
    """

    def __init__(self, settings: FleetSettings | None = None) -> None:
        self._settings = settings or FleetSettings()
        self._stack = AsyncExitStack()
        self._private_key, self._public_key = generate_key()
        self._states: dict[str, VmState] = {}
        self._addresses: dict[str, str] = {}
        self.partition = Partition()
        self.weight_store = WeightStoreStandin(
            Clock(), loads_per_minute=WEIGHT_LOADS_PER_MINUTE
        )
        self.vms: dict[str, FleetVm] = {}
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, PlainServiceStandin] = {}
        self.executions: list[Execution] = []
        self.vm_events: list[VmEvent] = []
        self._clock = Clock()
        self.configuration = ConfigurationServiceStandin(
            ConfigurationServiceSettings(FREE_PORT)
        )
        self.vm_list = VmListStandin(
            VmListSettings(FREE_PORT, self._settings.vm_list_lag_ms)
        )

    async def __aenter__(self) -> Fleet:
        await self._stack.enter_async_context(self.configuration)
        await self._stack.enter_async_context(self.vm_list)
        for index in range(self._settings.n_engines):
            await self._start_engine(f"engine-{index + 1}")
        for index in range(self._settings.n_services):
            await self._start_plain_service(f"desk-{index + 1}")
        await self.publish(self.build_bundle())
        for index in range(self._settings.n_vms):
            await self.start_vm(f"entry-{index + 1}")
        for vm in self.vms.values():
            await wait_until_ready(vm.gateway)
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for name in list(self.vms):
            await self.stop_vm(name)
        await self._stack.aclose()

    @property
    def gateway_addresses(self) -> tuple[str, ...]:
        """:returns: base URLs of the running gateways"""
        return tuple(vm.gateway.address for vm in self.vms.values())

    async def wait_until_members_agree(self) -> None:
        """Wait until every agent's membership view lists exactly the running VMs."""
        expected = set(self.vms)
        await wait_for(
            lambda: all(
                {member.vm for member in vm.agent.session.view.list_live()} == expected
                for vm in self.vms.values()
            )
        )

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
        return build_fleet_bundle(
            upstreams, version, weight_loads_per_minute=WEIGHT_LOADS_PER_MINUTE
        )

    def sign(self, bundle: Bundle) -> bytes:
        """:returns: the signed bundle in the format of the configuration service"""
        return encode_envelope(sign_bundle(bundle, KEY_ID, self._private_key))

    async def publish(self, bundle: Bundle) -> None:
        """Sign a bundle and publish it on the configuration service."""
        await self.configuration.publish(self.sign(bundle))

    def build_agent_settings(self, name: str) -> AgentSettings:
        """:returns: settings of the agent on VM ``name``"""
        platform = PlatformSettings(
            self.configuration.address,
            self.vm_list.address,
            watch_timeout_ms=self._settings.watch_timeout_ms,
            read_interval_ms=self._settings.read_interval_ms,
            max_watchers=self._settings.max_watchers,
            vm_list_interval_ms=self._settings.vm_list_interval_ms,
        )
        return AgentSettings(
            name,
            self.zone_of(name),
            FREE_PORT,
            platform,
            {KEY_ID: self._public_key},
            peers=PeerSettings({KEY_ID: PEER_SECRET}),
            membership=self._settings.membership,
            claims=self._settings.claims,
            join_timeout_ms=self._settings.join_timeout_ms,
            commands=self._settings.commands,
            reclaim=self._settings.reclaim,
        )

    def build_agent(self, settings: AgentSettings) -> AgentService:
        """:returns: an agent, not started, to which the fleet's partition applies"""
        drop = self.partition.build_middleware(settings.vm)
        return AgentService(settings, middlewares=(drop,))

    async def start_vm(self, name: str) -> FleetVm:
        """Start an entry VM; if the name was used before, with new incarnations."""
        self._note_vm_event("start", name)
        agent = self.build_agent(self.build_agent_settings(name))
        await agent.start()
        settings = GatewaySettings(
            name,
            self.zone_of(name),
            FREE_PORT,
            agent.address,
            exchange_interval_ms=self._settings.exchange_interval_ms,
            callers=self._settings.callers,
            upstreams=self._settings.upstreams,
            shutdown=self._settings.shutdown,
        )
        gateway = GatewayService(settings)
        await gateway.start()
        self.vms[name] = FleetVm(agent, gateway)
        self.set_state(name, VmState.LIVE, agent.address)
        return self.vms[name]

    async def stop_vm(self, name: str) -> None:
        """Stop an entry VM at once, without notice to its peers and the list."""
        self._note_vm_event("stop", name)
        vm = self.vms.pop(name)
        vm.agent.leaves_on_stop = False
        await vm.gateway.stop()
        await vm.agent.stop()

    async def leave_vm(self, name: str) -> None:
        """Stop an entry VM that announces its leave to its peers and in the list."""
        self._note_vm_event("leave", name)
        vm = self.vms.pop(name)
        self.set_state(name, VmState.LEAVING)
        await vm.gateway.stop()
        await vm.agent.stop()

    async def drain_vm(self, name: str) -> int:
        """Stop an entry VM as a SIGTERM to both its programs does.

        :returns: number of aborted requests
        """
        vm = self.vms[name]
        self.set_state(name, VmState.LEAVING)
        counts = await asyncio.gather(vm.gateway.drain(), vm.agent.drain())
        await self.leave_vm(name)
        self.set_state(name, None)
        return sum(counts)

    def set_state(
        self, name: str, state: VmState | None, address: str | None = None
    ) -> None:
        """Change the platform's list; readers see the change after the list's lag.

        :param state: new state; ``None`` removes the VM from the list
        :param address: base URL of the agent; ``None`` keeps the previous one
        """
        if address is not None:
            self._addresses[name] = address
        if state is None:
            self._states.pop(name, None)
        else:
            self._states[name] = state
        self.vm_list.set_vms(
            tuple(
                VmEntry(
                    vm,
                    VmRole.ENTRY if vm.startswith("entry") else VmRole.UPSTREAM,
                    self._addresses.get(vm, ""),
                    self.zone_of(vm),
                    vm_state,
                )
                for vm, vm_state in self._states.items()
            )
        )

    async def _start_engine(self, name: str) -> None:
        settings = EngineSettings(
            name,
            FREE_PORT,
            (f"{MODEL}:1",),
            self._settings.profile,
            max_models=self._settings.max_models,
        )
        engine = EngineStandin(settings, weight_store=self.weight_store)
        await self._stack.enter_async_context(engine)
        self.engines[name] = engine
        self.set_state(name, VmState.LIVE)

    async def _start_plain_service(self, name: str) -> None:
        def note_execution(key: str, _digest: str, request_id: str) -> None:
            self.executions.append(
                Execution(self._clock.now_ms(), name, key, request_id)
            )

        service = PlainServiceStandin(
            ServiceSettings(name, FREE_PORT, self._settings.service_duration_ms),
            on_execution=note_execution,
        )
        await self._stack.enter_async_context(service)
        self.services[name] = service
        self.set_state(name, VmState.LIVE)

    def _note_vm_event(self, action: str, vm: str) -> None:
        self.vm_events.append(VmEvent(self._clock.now_ms(), action, vm))


__all__ = ("API_KEY", "MODEL", "SERVICE", "Fleet")
