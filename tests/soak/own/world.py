"""Environment of the VMs of a fault run: stand-ins, links and settings."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from tests.soak.own.link import HOST, Link
from tests.support.example_bundle import (
    MODEL,
    FleetUpstreams,
    build_fleet_bundle,
    zone_of,
)

from quetzaldeck.agent import AgentSettings
from quetzaldeck.agent.settings import PlatformSettings
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle
from quetzaldeck.directory import VmEntry, VmRole, VmState
from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.history.events import (
    BundlePublished,
    Executed,
    SequenceEnded,
    SequenceStarted,
)
from quetzaldeck.http import ListenAddress
from quetzaldeck.peers import PeerSettings
from quetzaldeck.peers.seal import SEAL_HEADER, decode_seal
from quetzaldeck.standin import (
    ConfigurationServiceStandin,
    EngineStandin,
    PlainServiceStandin,
    VmListStandin,
)
from quetzaldeck.standin.sequence_observer import SequenceObserver
from quetzaldeck.standin.settings import (
    ConfigurationServiceSettings,
    EngineSettings,
    ServiceSettings,
    VmListSettings,
)

if TYPE_CHECKING:
    from collections.abc import Callable
    from types import TracebackType

    from quetzaldeck.bundle import Bundle
    from quetzaldeck.history import Recorder
    from quetzaldeck.upstreams import Owner

KEY_ID = "soak"
PEER_SECRET = "a-secret-of-soak-runs-only-0123456789abcdef"
BOOKING_DURATION_MS = 300
"""Long enough that kills and pauses hit running bookings."""

FREE_PORT = ListenAddress(HOST, 0)


class WorldSettings(NamedTuple):
    """Size of a fault run; the defaults match the smaller deployment."""

    n_vms: int = 7
    n_engines: int = 14
    n_services: int = 3
    zones: tuple[str, ...] = ("ktm-a", "ktm-b", "ktm-c")
    profile: EngineProfile = EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=5.0)
    vm_list_lag_ms: int = 500


class _RecordingObserver(SequenceObserver):
    """Records the sequences of one engine."""

    def __init__(self, upstream: str, recorder: Recorder) -> None:
        self._upstream = upstream
        self._recorder = recorder

    def note_started(self, attempt_id: str, owner: Owner) -> None:
        """Record that the engine accepted a sequence."""
        self._recorder.record(
            SequenceStarted(
                self._recorder.now_ms(),
                self._upstream,
                attempt_id,
                owner.vm,
                owner.incarnation,
            )
        )

    def note_ended(self, attempt_id: str) -> None:
        """Record that the engine released a sequence."""
        now_ms = self._recorder.now_ms()
        self._recorder.record(SequenceEnded(now_ms, self._upstream, attempt_id))


class World:
    """Owns stand-ins and links; a ``VmControl`` runs the programs of the VMs.

    :param choose_port: returns a free port each time
    """

    def __init__(
        self,
        settings: WorldSettings,
        recorder: Recorder,
        choose_port: Callable[[], int],
    ) -> None:
        self._settings = settings
        self._recorder = recorder
        self._choose_port = choose_port
        self._stack = AsyncExitStack()
        self._private_key, self._public_key = generate_key()
        self._version = 0
        self._vm_states: dict[str, VmState] = {}
        self.engines: dict[str, EngineStandin] = {}
        self.services: dict[str, PlainServiceStandin] = {}
        self.upstream_links: dict[str, Link] = {}
        self.agent_links: dict[str, Link] = {}
        self.configuration_links: dict[str, Link] = {}
        self.configuration = ConfigurationServiceStandin(
            ConfigurationServiceSettings(FREE_PORT)
        )
        self.vm_lists: dict[str, VmListStandin] = {}

    async def __aenter__(self) -> World:
        await self._stack.enter_async_context(self.configuration)
        for index in range(self._settings.n_engines):
            await self._start_engine(f"engine-{index + 1}")
        for index in range(self._settings.n_services):
            await self._start_plain_service(f"desk-{index + 1}")
        for name in self.vm_names:
            await self._open_links(name)
        await self.publish_bundle()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    @property
    def vm_names(self) -> tuple[str, ...]:
        """:returns: ids of all entry VMs"""
        return tuple(f"entry-{i + 1}" for i in range(self._settings.n_vms))

    def zone_of(self, name: str) -> str:
        """:returns: zone of a VM or upstream, by the number in its name"""
        return zone_of(name, self._settings.zones)

    async def publish_bundle(self) -> None:
        """Publish the next version of the bundle."""
        self._version += 1
        envelope = sign_bundle(self._build_bundle(), KEY_ID, self._private_key)
        self._recorder.record(BundlePublished(self._recorder.now_ms(), self._version))
        await self.configuration.publish(encode_envelope(envelope))

    def build_vm(self, name: str) -> tuple[AgentSettings, GatewaySettings]:
        """:returns: settings of a new incarnation of a VM's programs, on new ports"""
        agent_port = self._choose_port()
        link = self.agent_links[name]
        link.target_port = agent_port
        zone = self.zone_of(name)
        agent = AgentSettings(
            name,
            zone,
            ListenAddress(HOST, agent_port),
            PlatformSettings(
                self.configuration_links[name].address,
                self.vm_lists[name].address,
                watch_timeout_ms=5_000,
                vm_list_interval_ms=250,
            ),
            {KEY_ID: self._public_key},
            advertise=link.address,
            peers=PeerSettings({KEY_ID: PEER_SECRET}),
        )
        gateway = GatewaySettings(
            name,
            zone,
            ListenAddress(HOST, self._choose_port()),
            f"http://{HOST}:{agent_port}",
            exchange_interval_ms=100,
        )
        return agent, gateway

    def partition(self, groups: tuple[tuple[str, ...], ...]) -> None:
        """Let agents reach only the agents of their own group."""
        for group in groups:
            others = [vm for vm in self.vm_names if vm not in group]
            for vm in group:
                self.agent_links[vm].block_sources(others)

    def set_state(self, name: str, state: VmState | None) -> None:
        """Change the state of a VM in the platform's list, for all its readers.

        :param state: new state; ``None`` takes the VM off the list
        """
        if state is None:
            self._vm_states.pop(name, None)
        else:
            self._vm_states[name] = state
        for vm_list in self.vm_lists.values():
            vm_list.set_vms(self.list_vms())

    def list_vms(self) -> tuple[VmEntry, ...]:
        """:returns: the correct current list"""
        return tuple(
            VmEntry(
                name,
                VmRole.ENTRY if name in self.agent_links else VmRole.UPSTREAM,
                self.agent_links[name].address if name in self.agent_links else "",
                self.zone_of(name),
                state,
            )
            for name, state in self._vm_states.items()
        )

    async def _open_links(self, name: str) -> None:
        vm_list = VmListStandin(
            VmListSettings(FREE_PORT, self._settings.vm_list_lag_ms)
        )
        await self._stack.enter_async_context(vm_list)
        self.vm_lists[name] = vm_list
        self.agent_links[name] = await self._stack.enter_async_context(
            Link(self._choose_port(), identify=identify_peer)
        )
        self.configuration_links[name] = await self._stack.enter_async_context(
            Link(self.configuration.port)
        )

    async def _start_engine(self, name: str) -> None:
        settings = EngineSettings(
            name, FREE_PORT, (f"{MODEL}:1",), self._settings.profile
        )
        observer = _RecordingObserver(name, self._recorder)
        engine = EngineStandin(settings, observer=observer)
        await self._stack.enter_async_context(engine)
        self.engines[name] = engine
        await self._open_upstream_link(name, engine.port)

    async def _start_plain_service(self, name: str) -> None:
        def record_execution(key: str, digest: str, request_id: str) -> None:
            now_ms = self._recorder.now_ms()
            self._recorder.record(Executed(now_ms, name, key, digest, request_id))

        service = PlainServiceStandin(
            ServiceSettings(name, FREE_PORT, BOOKING_DURATION_MS),
            on_execution=record_execution,
        )
        await self._stack.enter_async_context(service)
        self.services[name] = service
        await self._open_upstream_link(name, service.port)

    async def _open_upstream_link(self, name: str, port: int) -> None:
        link = await self._stack.enter_async_context(Link(port))
        self.upstream_links[name] = link
        self.set_state(name, VmState.LIVE)

    def _build_bundle(self) -> Bundle:
        links = self.upstream_links
        upstreams = FleetUpstreams(
            {name: links[name].address for name in self.engines},
            {name: links[name].address for name in self.services},
            self._settings.zones,
            self._settings.profile.kv_tokens,
        )
        return build_fleet_bundle(upstreams, self._version)


def identify_peer(head: bytes) -> str:
    """:returns: VM that the seal in a message's first bytes names; ``""`` if none"""
    prefix = SEAL_HEADER.lower().encode() + b":"
    for line in head.split(b"\r\n"):
        if line.lower().startswith(prefix):
            value = line[len(prefix) :].strip().decode("utf-8", "replace")
            try:
                return decode_seal(value).vm
            except (ValueError, msgspec.MsgspecError):
                return ""
    return ""


__all__ = ("World", "WorldSettings", "identify_peer")
