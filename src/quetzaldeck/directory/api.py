"""Interfaces for reading what the platform publishes."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.directory.vm_entry import VmEntry


class PlatformError(Exception):
    """Raised if the platform does not answer, or answers with undecodable data."""


class Published(NamedTuple):
    """A value of the configuration service.

    :param revision: increases with each change; the value read may be outdated
    :param value: content of the value
    """

    revision: int
    value: bytes


class ConfigurationService(ABC):
    """Reads and watches one value of the configuration service.

    :param address: base URL of the service
    :param session: connection pool, owned by the caller
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._address = address
        self._session = session

    @abstractmethod
    async def read(self, key: str) -> Published | None:
        """Read a value.

        :param key: name of the value
        :returns: the value; ``None`` if the key does not exist

        :raises PlatformError: if the service does not answer, or not as expected
        """

    @abstractmethod
    async def watch(
        self, key: str, after_revision: int, timeout_ms: float
    ) -> Published | None:
        """Wait for a newer value by one long poll, which counts as a single call.

        :param key: name of the value
        :param after_revision: revision that is known already
        :param timeout_ms: time to wait
        :returns: the newer value; ``None`` if there was none within the time
        :raises PlatformError: if the service does not answer, or not as expected
        """


class VmList(ABC):
    """Reads the platform's list of VMs, which lags behind the actual state.

    :param address: base URL of the list
    :param session: connection pool, owned by the caller
    """

    def __init__(self, address: str, session: aiohttp.ClientSession) -> None:
        self._address = address
        self._session = session

    @abstractmethod
    async def read(self) -> tuple[VmEntry, ...]:
        """:returns: the VMs that the platform lists

        :raises PlatformError: if the list cannot be read
        """


configuration_services: Registry[ConfigurationService] = Registry(
    "configuration service"
)
vm_lists: Registry[VmList] = Registry("VM list")

__all__ = (
    "ConfigurationService",
    "PlatformError",
    "Published",
    "VmList",
    "configuration_services",
    "vm_lists",
)
