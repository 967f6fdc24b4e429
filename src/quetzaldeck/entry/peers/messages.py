"""Datagrams that entry VMs exchange, encoded as JSON."""

from __future__ import annotations

from typing import Literal

import msgspec

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.peer_load import VmLoad


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Load of a VM at one upstream; see :class:`VmLoad` for the fields."""

    upstream: str
    n_requests: int
    n_prefill_tokens: int
    n_kv_tokens: int
    n_parts: int = 0
    n_answered: float = 0.0
    n_failed: float = 0.0
    incarnation: str = ""
    refuses_help: bool = False

    @property
    def says_anything(self) -> bool:
        """:returns: whether any field carries information for another VM"""
        return bool(
            self.n_requests
            or self.n_prefill_tokens
            or self.n_kv_tokens
            or self.n_parts
            or self.n_answered
            or self.n_failed
            or self.refuses_help
        )


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The crash of an engine while it ran a request, or the clearing of a request.

    A request is cleared when an engine has answered it. See ``CrashSighting`` for the
    fields.
    """

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float


class VmUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one VM announces to all others; may be relayed by other VMs.

    :param vm: id of this incarnation of the VM: it changes when the VM restarts
    :param sequence: increases with each update of the VM; the highest is the latest
    :param paces: slowdown factors by engine name, for engines that are slow now or were
        slow in the VM's previous update
    """

    vm: str
    sequence: int
    loads: tuple[LoadUpdate, ...] = ()
    crashes: tuple[CrashUpdate, ...] = ()
    paces: dict[str, float] = {}

    @property
    def says_anything(self) -> bool:
        """:returns: whether the update is not empty"""
        return bool(self.loads or self.crashes or self.paces)


Reach = Literal["", "fleet", "members"]
"""Where the receiver forwards the updates: nowhere, to all VMs, or to its members."""

Join = Literal["", "member", "relay", "leave"]
"""Whether the sender subscribes to updates, and in which role; see ``Subscribers``."""


class PeerMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram.

    :param vm: id of the sender's incarnation
    :param availability_zone: the sender's; only in greetings, otherwise ``""``
    :param capacity: the sender's processor, in cores; only in greetings, otherwise 0
    :param known: VMs that the sender has received a message from recently: their
        processors in cores, 0 if unknown, by availability zone and address
    :param news: updates of the sender, or of other VMs that it forwards
    :param number: the receiver acknowledges this number; 0: no acknowledgement needed
    :param confirmed: number of a received message that the sender acknowledges; 0: none
    """

    vm: str
    availability_zone: str = ""
    capacity: float = 0.0
    known: dict[str, dict[str, float]] = {}
    news: tuple[VmUpdate, ...] = ()
    reach: Reach = ""
    join: Join = ""
    number: int = 0
    confirmed: int = 0


N_OUTCOME_DIGITS = 2
"""Decimal places of the decaying outcome counts; more would only add bytes."""

_DECODER = msgspec.json.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """:returns: the datagram for ``message``"""
    return msgspec.json.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """:returns: the message in a datagram

    :raises msgspec.DecodeError: if the datagram is not a valid message
    """
    return _DECODER.decode(data)


def build_load_update(upstream: str, load: VmLoad) -> LoadUpdate:
    """:returns: the update that announces this VM's load at one upstream"""
    return LoadUpdate(
        upstream,
        load.n_requests,
        load.n_prefill_tokens,
        load.n_kv_tokens,
        load.n_parts,
        round(load.outcomes.n_answered, N_OUTCOME_DIGITS),
        round(load.outcomes.n_failed, N_OUTCOME_DIGITS),
        load.incarnation,
        load.refuses_help,
    )


def read_load_update(update: LoadUpdate) -> VmLoad:
    """:returns: the load of another VM at one upstream"""
    return VmLoad(
        update.n_requests,
        update.n_prefill_tokens,
        update.n_kv_tokens,
        update.n_parts,
        Outcomes(update.n_answered, update.n_failed),
        update.incarnation,
        update.refuses_help,
    )


__all__ = (
    "CrashUpdate",
    "Join",
    "LoadUpdate",
    "PeerMessage",
    "Reach",
    "VmUpdate",
    "build_load_update",
    "decode_message",
    "encode_message",
    "read_load_update",
)
