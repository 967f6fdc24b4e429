"""Settings of the stand-ins."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.directory.vm_entry import VmEntry
from quetzaldeck.engine_model.profile import EngineProfile
from quetzaldeck.http.address import ListenAddress
from quetzaldeck.standin.faults import (
    ConfigurationFaults,
    EngineFaults,
    ServiceFaults,
    VmListFaults,
)


class EngineSettings(NamedTuple):
    """One stand-in engine."""

    name: Annotated[str, Option("Name of the engine.")]
    listen: Annotated[ListenAddress, Option("Where it listens.")]
    models: Annotated[
        tuple[str, ...], Option("Models it has loaded at the start.")
    ] = ()
    profile: Annotated[EngineProfile, Option("Its speed and size.")] = EngineProfile()
    load_lag_ms: Annotated[
        int, Option("Age of its load reports.", unit="ms", minimum=0)
    ] = 200
    max_models: Annotated[
        int, Option("Most models that it can hold; 0: no limit.", minimum=0)
    ] = 0
    faults: Annotated[EngineFaults, Option("Its faults.")] = EngineFaults()


class ServiceSettings(NamedTuple):
    """One stand-in replica of a plain service."""

    name: Annotated[str, Option("Name of the replica.")]
    listen: Annotated[ListenAddress, Option("Where it listens.")]
    duration_ms: Annotated[
        int, Option("How long a call takes.", unit="ms", minimum=0)
    ] = 10
    faults: Annotated[ServiceFaults, Option("Its faults.")] = ServiceFaults()


class ConfigurationServiceSettings(NamedTuple):
    """The stand-in configuration service."""

    listen: Annotated[ListenAddress, Option("Where it listens.")]
    bundle_file: Annotated[
        Path | None,
        Option("Signed bundle to publish; published again when it changes."),
    ] = None
    faults: Annotated[ConfigurationFaults, Option("Its faults.")] = (
        ConfigurationFaults()
    )


class VmListSettings(NamedTuple):
    """The stand-in VM list."""

    listen: Annotated[ListenAddress, Option("Where it listens.")]
    lag_ms: Annotated[int, Option("Delay of its changes.", unit="ms", minimum=0)] = (
        1_000
    )
    vms: Annotated[tuple[VmEntry, ...], Option("The VMs listed.")] = ()
    faults: Annotated[VmListFaults, Option("Its faults.")] = VmListFaults()


class StandinSettings(NamedTuple):
    """Settings of all stand-ins in one process."""

    configuration_service: Annotated[
        ConfigurationServiceSettings | None, Option("Configuration service.")
    ] = None
    vm_list: Annotated[VmListSettings | None, Option("List of VMs.")] = None
    engines: Annotated[tuple[EngineSettings, ...], Option("Engines.")] = ()
    services: Annotated[tuple[ServiceSettings, ...], Option("Plain services.")] = ()


__all__ = (
    "ConfigurationServiceSettings",
    "EngineSettings",
    "ServiceSettings",
    "StandinSettings",
    "VmListSettings",
)
