"""Read-only client for the platform's store."""

from __future__ import annotations

from typing import TYPE_CHECKING, TypeVar

import aiohttp
import msgspec

from quetzaldeck.belief import (
    BeliefSource,
    Change,
    ConfigurationRead,
    HistoryDroppedError,
    ReplicaRead,
    ReplicaRemoved,
    SourceAnswer,
    SourceError,
    UndecodableEntry,
    ZoneEvacuated,
    ZoneRestored,
)
from quetzaldeck.http.answer_bounds import (
    ByteBound,
    OverBoundError,
    log_over_bound,
    read_body,
)
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.platform.wire_configuration import decode_configuration
from quetzaldeck.platform.wire_replica import decode_replica
from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from collections.abc import Iterable

T = TypeVar("T")

CONFIGURATION_KEY = "op/config"
REPLICA_PREFIX = "servers/"
EVACUATION_PREFIX = "op/evacuate/"
READ_TIMEOUT_MS = 1_000
"""The answer normally takes about 4 ms. The timeout allows for a store that is a
hundred times slower, and an outage is noticed well within the age bounds of the fleet
state."""
GONE_STATUS = 410

MAX_PAGE_BYTES = 4 << 20
"""A page has about 1 MB, or one value of the greatest size (1 MiB) in base64."""

MAX_FLEET_BYTES = 32 << 20
"""All pages, or the events of one watch: tens of thousands of replicas, a tenth of the
memory of a VM."""


class _Item(msgspec.Struct, frozen=True):
    """An item of the store, or the event of its deletion."""

    key: str
    revision: int = 0
    value: bytes = b""
    deleted: bool = False


class _Page(msgspec.Struct, frozen=True, rename="camel"):
    items: list[_Item]
    at: int
    """Revision of the store, not a time."""
    has_more: bool = False


class _Events(msgspec.Struct, frozen=True):
    events: list[_Item]
    at: int


_PAGE_DECODER = JsonDecoder(_Page)
_EVENTS_DECODER = JsonDecoder(_Events)


class PlatformStore(BeliefSource):
    """Reads configuration and replicas from the platform's store.

    :param client: used for this store only
    :param address: IP address and port
    """

    def __init__(self, client: aiohttp.ClientSession, address: str) -> None:
        self._client = client
        self._base = f"http://{address}"

    async def read_all(self) -> SourceAnswer:
        """Read everything; see the base class.

        The answer has the revision of the first page: what changes while the other
        pages are read is then reported again by :meth:`wait_for_changes`.
        """
        items: list[_Item] = []
        bound = ByteBound("pages", MAX_FLEET_BYTES)
        revision: int | None = None
        after = ""
        while True:
            params = {"prefix": "", "after": after} if after else {"prefix": ""}
            body = await self._get("/kv-range", params, READ_TIMEOUT_MS, MAX_PAGE_BYTES)
            try:
                bound.add(len(body))
            except OverBoundError as error:
                log_over_bound(self._base, error)
                raise SourceError(f"/kv-range: {error}") from error
            page = _decode("/kv-range", body, _PAGE_DECODER)
            revision = page.at if revision is None else revision
            items.extend(page.items)
            if not page.has_more or not page.items:
                return SourceAnswer(revision, _translate(items), is_complete=True)
            after = page.items[-1].key

    async def wait_for_changes(self, revision: int, wait_ms: int) -> SourceAnswer:
        """Wait for events; see the base class."""
        params = {"prefix": "", "after": str(revision), "waitMs": str(wait_ms)}
        timeout_ms = wait_ms + READ_TIMEOUT_MS
        body = await self._get("/kv-watch", params, timeout_ms, MAX_FLEET_BYTES)
        answer = _decode("/kv-watch", body, _EVENTS_DECODER)
        waited_ms = 0.0 if answer.events else float(wait_ms)
        return SourceAnswer(answer.at, _translate(answer.events), waited_ms=waited_ms)

    async def _get(
        self,
        path: str,
        params: dict[str, str],
        timeout_ms: float,
        max_bytes: int,
    ) -> bytes:
        try:
            async with (
                RunningTimeout(timeout_ms),
                self._client.get(self._base + path, params=params) as response,
            ):
                body = await read_body(response, max_bytes)
                status = response.status
        except OverBoundError as error:
            log_over_bound(self._base, error)
            raise SourceError(f"{path}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise SourceError(f"{path}: {error!r}") from error
        if status == GONE_STATUS:
            raise HistoryDroppedError(
                f"{path}: the store no longer has the requested history"
            )
        if status != 200:
            raise SourceError(f"{path}: status {status}")
        return body


def _decode(path: str, body: bytes, decoder: JsonDecoder[T]) -> T:
    try:
        return decoder.decode(body)
    except msgspec.DecodeError as error:
        raise SourceError(f"{path}: {error}") from error


def _translate(items: Iterable[_Item]) -> tuple[Change, ...]:
    changes = (_translate_item(item) for item in items)
    return tuple(change for change in changes if change is not None)


def _translate_item(item: _Item) -> Change | None:
    if item.key.startswith(EVACUATION_PREFIX):
        return _translate_evacuation(item)
    replica_id = item.key.removeprefix(REPLICA_PREFIX)
    is_replica = replica_id != item.key
    try:
        if item.key == CONFIGURATION_KEY and not item.deleted:
            return ConfigurationRead(decode_configuration(item.value))
        if is_replica and item.deleted:
            return ReplicaRemoved(replica_id)
        if is_replica:
            return ReplicaRead(decode_replica(replica_id, item.value))
    except msgspec.DecodeError as error:
        return UndecodableEntry(
            item.key, str(error), replica_id if is_replica else None
        )
    return None


def _translate_evacuation(item: _Item) -> Change:
    """:returns: the change of a zone; the presence of its key counts, not the value"""
    zone = item.key.removeprefix(EVACUATION_PREFIX)
    if not zone:
        return UndecodableEntry(item.key, "the key names no availability zone")
    return ZoneRestored(zone) if item.deleted else ZoneEvacuated(zone)


__all__ = ("PlatformStore",)
