"""A replica's entry in the platform's store, and its translation.

Entries may come from another writer. One that is not as a replica writes it names no
replica: what it says would be sent requests that nobody there can run.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from quetzaldeck.routing import Replica

_Count = Annotated[int, msgspec.Meta(ge=0)]


class _WireReplica(msgspec.Struct, frozen=True, rename="camel"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    version: str
    """Of the replica's software; nothing here goes by it."""
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: _Count
    """Orders that it has accepted since its start; nothing here goes by it."""
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    """When it started, in Unix milliseconds; not all replicas say so."""


_DECODER = msgspec.json.Decoder(_WireReplica)

_ID = re.compile(r"[!-~]{1,200}")
"""Ids are sent in headers: no blanks, and nothing that would end a line."""

_MAX_PORT = 65_535


def decode_replica(replica_id: str, value: bytes) -> Replica:
    """:returns: the replica in ``value``

    :raises msgspec.DecodeError: with the place of the fault
    :raises UnicodeDecodeError: if a text in it is none
    :raises RecursionError: if it is nested too deeply
    """
    if not _ID.fullmatch(replica_id):
        msg = f"{replica_id!r} is no id of a replica"
        raise msgspec.ValidationError(msg)
    entry = _DECODER.decode(value)
    _check_address(entry.address)
    return Replica(
        replica_id,
        entry.service,
        entry.address,
        entry.zone,
        entry.state == "draining",
        entry.slots,
        entry.cold_remaining_ms,
        0 if entry.born is msgspec.UNSET else entry.born,
    )


def _check_address(address: str) -> None:
    """:raises msgspec.ValidationError: unless it is an IP number and a port"""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        msg = f"{error} - at `$.address`"
        raise msgspec.ValidationError(msg) from error
    is_port = port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= _MAX_PORT
    if not is_port:
        msg = f"{port!r} is no port - at `$.address`"
        raise msgspec.ValidationError(msg)


__all__ = ("decode_replica",)
