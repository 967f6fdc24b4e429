"""Runs stand-ins, agents, gateways and the load generator in one process."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.agent import AgentService, AgentSettings
from quetzaldeck.bundle import Bundle
from quetzaldeck.bundle.signing import encode_envelope, generate_key, sign_bundle
from quetzaldeck.clock import Clock
from quetzaldeck.config import load_file
from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.load import (
    LoadSettings,
    build_report,
    read_executions,
    run_load,
)
from quetzaldeck.standin import (
    ConfigurationServiceStandin,
    StandinSettings,
    build_standins,
)

if TYPE_CHECKING:
    from pathlib import Path

    from quetzaldeck.load import LoadReport

KEY_ID = "demo"
READY_TIMEOUT_S = 10.0


class DemoSettings(NamedTuple):
    """Contents of all settings files of the demo."""

    standins: StandinSettings
    agents: tuple[AgentSettings, ...]
    gateways: tuple[GatewaySettings, ...]
    load: LoadSettings
    bundle: Bundle


def load_demo_settings(directory: Path) -> DemoSettings:
    """:returns: the settings in ``directory``

    :raises FindingsError: if a settings file is invalid
    """
    return DemoSettings(
        load_file(directory / "standins.yaml", StandinSettings),
        tuple(
            load_file(path, AgentSettings)
            for path in sorted(directory.glob("agent-*.yaml"))
        ),
        tuple(
            load_file(path, GatewaySettings)
            for path in sorted(directory.glob("gateway-*.yaml"))
        ),
        load_file(directory / "load.yaml", LoadSettings),
        load_file(directory / "bundle.yaml", Bundle),
    )


async def run_demo(settings: DemoSettings) -> LoadReport:
    """Start all services, publish the signed bundle and run the load.

    :returns: the report of the load run
    :raises TimeoutError: if a gateway does not become ready
    """
    private_key, public_key = generate_key()
    envelope = sign_bundle(settings.bundle, KEY_ID, private_key)
    async with AsyncExitStack() as stack:
        for standin in build_standins(settings.standins):
            await stack.enter_async_context(standin)
            if isinstance(standin, ConfigurationServiceStandin):
                await standin.publish(encode_envelope(envelope))
        for agent_settings in settings.agents:
            trusted = agent_settings._replace(bundle_keys={KEY_ID: public_key})
            await stack.enter_async_context(AgentService(trusted))
        for gateway_settings in settings.gateways:
            gateway = GatewayService(gateway_settings)
            await stack.enter_async_context(gateway)
            await wait_until_ready(gateway)
        results = await run_load(settings.load, Clock())
        executions = await read_executions(settings.load.services)
    return build_report(results, executions)


async def wait_until_ready(gateway: GatewayService) -> None:
    """Wait until a gateway has a bundle in force.

    :raises TimeoutError: if it has none within ``READY_TIMEOUT_S``
    """
    async with asyncio.timeout(READY_TIMEOUT_S):
        while gateway.session.state.bundle_version == 0:
            await asyncio.sleep(0.05)


__all__ = (
    "DemoSettings",
    "load_demo_settings",
    "run_demo",
    "wait_until_ready",
)
