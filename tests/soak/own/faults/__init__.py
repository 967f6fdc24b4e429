"""Faults of fault runs, registered by name."""

from __future__ import annotations

from tests.soak.own.faults import network, platform, upstreams, vms
from tests.soak.own.faults.api import Fault, faults

__all__ = ("Fault", "faults", "network", "platform", "upstreams", "vms")
