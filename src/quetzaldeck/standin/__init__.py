"""Simple stand-ins for external systems, used by tests and the demo."""

from __future__ import annotations

from quetzaldeck.standin.build import build_standins
from quetzaldeck.standin.configuration_service import ConfigurationServiceStandin
from quetzaldeck.standin.engine import EngineStandin
from quetzaldeck.standin.faults import (
    ConfigurationFaults,
    EngineFaults,
    ServiceFaults,
    VmListFaults,
)
from quetzaldeck.standin.plain_service import PlainServiceStandin
from quetzaldeck.standin.settings import StandinSettings
from quetzaldeck.standin.vm_list import VmListStandin
from quetzaldeck.standin.weight_store import WeightStoreStandin

__all__ = (
    "ConfigurationFaults",
    "ConfigurationServiceStandin",
    "EngineFaults",
    "EngineStandin",
    "PlainServiceStandin",
    "ServiceFaults",
    "StandinSettings",
    "VmListFaults",
    "VmListStandin",
    "WeightStoreStandin",
    "build_standins",
)
