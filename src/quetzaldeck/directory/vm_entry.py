"""An entry of the platform's list of VMs."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class VmRole(StrEnum):
    """Roles of VMs."""

    ENTRY = "entry"
    UPSTREAM = "upstream"


class VmState(StrEnum):
    """State of a VM in the platform's list."""

    LIVE = "live"
    LEAVING = "leaving"


class VmEntry(NamedTuple):
    """One VM as the platform lists it.

    :param address: base URL of the agent on an entry VM
    """

    vm: Annotated[str, Option("ID of the VM.")]
    role: Annotated[str, Option("Role of the VM.", choices=("entry", "upstream"))]
    address: Annotated[str, Option("Base URL of its agent, with an IP address.")] = ""
    availability_zone: Annotated[str, Option("Zone that it runs in.")] = ""
    state: Annotated[str, Option("State of the VM.", choices=("live", "leaving"))] = (
        "live"
    )


__all__ = ("VmEntry", "VmRole", "VmState")
