"""Messages that agents exchange to probe each other."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.dissemination.record import Record
from quetzaldeck.membership.update import MemberUpdate


class GossipMessage(NamedTuple):
    """Request or answer of one gossip exchange; both have the same form.

    :param sender: the sender's update about itself
    :param wants_all: whether the sender asks for all members and records, since it has
        just started
    :param bundle_version: version of the bundle in force at the sender; 0 if none
    :param bundle_digest: digest of that bundle's payload
    :param updates: what the sender knows about other members
    :param records: records that the sender passes on
    """

    sender: MemberUpdate
    wants_all: bool
    bundle_version: int
    bundle_digest: int
    updates: tuple[MemberUpdate, ...] = ()
    records: tuple[Record, ...] = ()


class RelayRequest(NamedTuple):
    """Asks a peer to probe a VM that did not answer the sender's own probe."""

    vm: str
    address: str


class RelayAnswer(NamedTuple):
    """Whether the VM answered the probe of the relay."""

    is_reached: bool


__all__ = ("GossipMessage", "RelayAnswer", "RelayRequest")
