"""The message that agents exchange at each probe."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.dissemination.record import Record
from quetzaldeck.membership.update import MemberUpdate


class GossipMessage(NamedTuple):
    """One side of an exchange; request and answer are alike.

    :param sender: the sender
    :param wants_all: whether the sender has just started and knows nothing yet
    :param bundle_version: version in force at the sender; 0: none
    :param bundle_digest: digest of its payload
    """

    sender: MemberUpdate
    wants_all: bool
    bundle_version: int
    bundle_digest: int
    updates: tuple[MemberUpdate, ...] = ()
    records: tuple[Record, ...] = ()


class RelayRequest(NamedTuple):
    """Asks a peer to probe a VM that does not answer the sender."""

    vm: str
    address: str


class RelayAnswer(NamedTuple):
    """What came of the probe."""

    is_reached: bool


__all__ = ("GossipMessage", "RelayAnswer", "RelayRequest")
