"""A replica's entry in the platform's store, and its translation.

Other programs may also write entries. An entry that does not have the form that
replicas write is rejected: otherwise requests would be sent to an address where no
replica can run them.
"""

from __future__ import annotations

import ipaddress
import re
from typing import Annotated, Literal

import msgspec

from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.routing import Replica

_Count = Annotated[int, msgspec.Meta(ge=0)]


class _WireReplica(msgspec.Struct, frozen=True, rename="camel"):
    service: Annotated[str, msgspec.Meta(min_length=1)]
    address: str
    zone: str
    version: str
    """Version of the replica's software; not used here."""
    slots: Annotated[int, msgspec.Meta(ge=1)]
    state: Literal["ready", "draining"]
    cold_remaining_ms: Annotated[float, msgspec.Meta(ge=0)]
    sequence: _Count
    """Number of orders that the replica has accepted since its start; not used here."""
    born: _Count | msgspec.UnsetType = msgspec.UNSET
    """Start time in Unix milliseconds; not every replica reports it."""


_DECODER = JsonDecoder(_WireReplica)

_ID = re.compile(r"[!-~]{1,200}")
"""Ids are sent in headers, so they have no whitespace and no line breaks."""

_MAX_PORT = 65_535


def decode_replica(replica_id: str, value: bytes) -> Replica:
    """:returns: the replica in ``value``

    :raises msgspec.DecodeError: if it is not valid; the message names the faulty field
    """
    if not _ID.fullmatch(replica_id):
        msg = f"{replica_id!r} is not a valid replica id"
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
    """:raises msgspec.ValidationError: unless it is an IPv4 address with a port"""
    host, _, port = address.rpartition(":")
    try:
        ipaddress.IPv4Address(host)
    except ValueError as error:
        msg = f"{error} - at `$.address`"
        raise msgspec.ValidationError(msg) from error
    is_port = port.isascii() and port.isdecimal() and 0 < int(port[:6]) <= _MAX_PORT
    if not is_port:
        msg = f"{port!r} is not a valid port - at `$.address`"
        raise msgspec.ValidationError(msg)


__all__ = ("decode_replica",)
