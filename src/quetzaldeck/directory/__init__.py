"""Read-only access to the platform: configuration service and list of VMs."""

from __future__ import annotations

from quetzaldeck.directory.api import (
    ConfigurationService,
    PlatformError,
    Published,
    VmList,
    configuration_services,
    vm_lists,
)
from quetzaldeck.directory.http import HttpConfigurationService, HttpVmList
from quetzaldeck.directory.vm_entry import VmEntry, VmRole, VmState

__all__ = (
    "ConfigurationService",
    "HttpConfigurationService",
    "HttpVmList",
    "PlatformError",
    "Published",
    "VmEntry",
    "VmList",
    "VmRole",
    "VmState",
    "configuration_services",
    "vm_lists",
)
