"""What entry VMs tell each other, in datagrams of JSON."""

from __future__ import annotations

from typing import Literal

import msgspec

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.peer_load import VmLoad


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """What of a VM is at one upstream; see ``VmLoad``."""

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
        """:returns: whether another VM learns anything from it"""
        return bool(
            self.n_requests
            or self.n_prefill_tokens
            or self.n_kv_tokens
            or self.n_parts
            or self.n_answered
            or self.n_failed
            or self.refuses_help
        )


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """A crash with a request on board, or its acquittal; see ``CrashSighting``."""

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float


class VmNews(msgspec.Struct, frozen=True, array_like=True):
    """What one VM has to tell all others; may come by way of other VMs.

    :param vm: id of the VM and of its run: a VM that starts again is another one
    :param sequence: grows with each of the VM's news; the highest is the latest
    :param paces: by name, engines that are slow, or were when they were told of last
    """

    vm: str
    sequence: int
    loads: tuple[LoadNews, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    paces: dict[str, float] = {}

    @property
    def says_anything(self) -> bool:
        """:returns: whether there is anything in it"""
        return bool(self.loads or self.crashes or self.paces)


Reach = Literal["", "fleet", "members"]
"""To whom the receiver passes news on: to nobody, all VMs, or those that joined it."""

Join = Literal["", "member", "relay", "leave"]
"""Whether the sender wants to be told news, and as what; see ``Subscribers``."""


class PeerMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram.

    :param vm: id of the sender and of its run
    :param availability_zone: the sender's; ``""`` in messages that carry news only
    :param capacity: the sender's processor, in cores; 0 in messages without a zone
    :param known: VMs that the sender heard lately: their processors in cores, 0 if
        unknown, by availability zone and address
    :param news: of the sender, or of others that it passes on
    :param number: the receiver confirms it; 0: it need not
    :param confirmed: number of a message that the sender has received; 0: none
    """

    vm: str
    availability_zone: str = ""
    capacity: float = 0.0
    known: dict[str, dict[str, float]] = {}
    news: tuple[VmNews, ...] = ()
    reach: Reach = ""
    join: Join = ""
    number: int = 0
    confirmed: int = 0


N_DIGITS = 2
"""Digits after the point of counts that age; more would be bytes without use."""

_DECODER = msgspec.json.Decoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """:returns: the datagram for ``message``"""
    return msgspec.json.encode(message)


def decode_message(data: bytes) -> PeerMessage:
    """:returns: the message in a datagram

    :raises msgspec.DecodeError: if it holds none
    """
    return _DECODER.decode(data)


def build_load_news(upstream: str, share: VmLoad) -> LoadNews:
    """:returns: what the other VMs are told of one upstream"""
    return LoadNews(
        upstream,
        share.n_requests,
        share.n_prefill_tokens,
        share.n_kv_tokens,
        share.n_parts,
        round(share.outcomes.n_answered, N_DIGITS),
        round(share.outcomes.n_failed, N_DIGITS),
        share.incarnation,
        share.refuses_help,
    )


def read_load_news(load: LoadNews) -> VmLoad:
    """:returns: what another VM has at one upstream"""
    return VmLoad(
        load.n_requests,
        load.n_prefill_tokens,
        load.n_kv_tokens,
        load.n_parts,
        Outcomes(load.n_answered, load.n_failed),
        load.incarnation,
        load.refuses_help,
    )


__all__ = (
    "CrashNews",
    "Join",
    "LoadNews",
    "PeerMessage",
    "Reach",
    "VmNews",
    "build_load_news",
    "decode_message",
    "encode_message",
    "read_load_news",
)
