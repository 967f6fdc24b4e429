"""Adapters for a configuration service and a VM list over HTTP."""

from __future__ import annotations

import aiohttp
import msgspec

from quetzaldeck.directory.api import (
    ConfigurationService,
    PlatformError,
    Published,
    VmList,
    configuration_services,
    vm_lists,
)
from quetzaldeck.directory.vm_entry import VmEntry
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry import log_event

HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_NOT_MODIFIED = 304
REVISION_HEADER = "X-Revision"
READ_TIMEOUT_MS = 2_000.0
WATCH_TIMEOUT_MARGIN_MS = 1_000.0
MAX_LOGGED_BYTES = 200
_LIST_DECODER = JsonDecoder(list[msgspec.Raw])
_ENTRY_DECODER = JsonDecoder(VmEntry)


@configuration_services.register("http")
class HttpConfigurationService(ConfigurationService):
    """Reads values by GET, and watches them by a long poll."""

    async def read(self, key: str) -> Published | None:
        """Read a value; see :meth:`ConfigurationService.read`."""
        return await self._get(f"/v1/keys/{key}", READ_TIMEOUT_MS)

    async def watch(
        self, key: str, after_revision: int, timeout_ms: float
    ) -> Published | None:
        """Wait for a newer value; see :meth:`ConfigurationService.watch`.

        The timeout is enforced here and not left to the service: otherwise a watch on a
        connection that stopped responding would delay every later bundle.
        """
        path = f"/v1/keys/{key}?after={after_revision}&timeout_ms={round(timeout_ms)}"
        return await self._get(path, timeout_ms + WATCH_TIMEOUT_MARGIN_MS)

    async def _get(self, path: str, timeout_ms: float) -> Published | None:
        try:
            async with (
                RunningTimeout(timeout_ms),
                self._session.get(self._address + path) as response,
            ):
                if response.status in (HTTP_NOT_FOUND, HTTP_NOT_MODIFIED):
                    return None
                if response.status != HTTP_OK:
                    msg = f"configuration service: HTTP status {response.status}"
                    raise PlatformError(msg)
                revision = int(response.headers[REVISION_HEADER])
                return Published(revision, await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            msg = f"configuration service: {error!r}"
            raise PlatformError(msg) from error
        except (KeyError, ValueError) as error:
            msg = f"configuration service: no revision in the response: {error!r}"
            raise PlatformError(msg) from error


@vm_lists.register("http")
class HttpVmList(VmList):
    """Reads the list of VMs by GET; leaves out entries that are not valid."""

    async def read(self) -> tuple[VmEntry, ...]:
        """Read the list; see :meth:`VmList.read`."""
        try:
            async with (
                RunningTimeout(READ_TIMEOUT_MS),
                self._session.get(self._address + "/v1/vms") as response,
            ):
                if response.status != HTTP_OK:
                    msg = f"VM list: HTTP status {response.status}"
                    raise PlatformError(msg)
                return _decode_list(await response.read())
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            msg = f"VM list: {error!r}"
            raise PlatformError(msg) from error
        except msgspec.DecodeError as error:
            msg = f"VM list: response cannot be decoded: {error}"
            raise PlatformError(msg) from error


def _decode_list(data: bytes) -> tuple[VmEntry, ...]:
    """:raises msgspec.DecodeError: if it is no list"""
    entries = []
    for raw in _LIST_DECODER.decode(data):
        try:
            entries.append(_ENTRY_DECODER.decode(bytes(raw)))
        except msgspec.DecodeError as error:
            text = bytes(raw)[:MAX_LOGGED_BYTES].decode(errors="replace")
            log_event("vm_entry_invalid", level="WARNING", entry=text, error=error)
    return tuple(entries)


__all__ = ("REVISION_HEADER", "HttpConfigurationService", "HttpVmList")
