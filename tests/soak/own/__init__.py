"""Fault runs: recorded load on real gateways and agents while faults are injected."""

from __future__ import annotations

from tests.soak.own.control import VmControl
from tests.soak.own.faults import Fault, faults
from tests.soak.own.link import Link, LinkMode
from tests.soak.own.report import TABLE_HEAD, RunReport
from tests.soak.own.run import FaultRun, RunResult, RunSettings
from tests.soak.own.world import World, WorldSettings

__all__ = (
    "TABLE_HEAD",
    "Fault",
    "FaultRun",
    "Link",
    "LinkMode",
    "RunReport",
    "RunResult",
    "RunSettings",
    "VmControl",
    "World",
    "WorldSettings",
    "faults",
)
