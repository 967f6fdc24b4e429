"""What entry VMs tell each other, in datagrams of JSON."""

from __future__ import annotations

import msgspec

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.peer_load import UpstreamShare


class LoadNews(msgspec.Struct, frozen=True, array_like=True):
    """What of the sender is at one upstream; see ``UpstreamShare``."""

    upstream: str
    n_requests: int
    n_prefill_tokens: int
    n_kv_tokens: int
    n_parts: int = 0
    n_answered: float = 0.0
    n_failed: float = 0.0
    incarnation: str = ""


class CrashNews(msgspec.Struct, frozen=True, array_like=True):
    """A crash with a request on board, or its acquittal; see ``CrashSighting``."""

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float


class PeerNews(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram.

    :param vm: id of the sender and of its run: a VM that starts again is another one
    :param availability_zone: the sender's; ``""`` in news of loads and crashes
    :param known: by availability zone, addresses that the sender heard lately
    :param paces: by name, engines that are slow, or were when they were told of last
    """

    vm: str
    availability_zone: str = ""
    known: dict[str, tuple[str, ...]] = {}
    loads: tuple[LoadNews, ...] = ()
    crashes: tuple[CrashNews, ...] = ()
    paces: dict[str, float] = {}


N_DIGITS = 2
"""Digits after the point of counts that age; more would be bytes without use."""

_DECODER = msgspec.json.Decoder(PeerNews)


def encode_news(news: PeerNews) -> bytes:
    """:returns: the datagram for ``news``"""
    return msgspec.json.encode(news)


def decode_news(data: bytes) -> PeerNews:
    """:returns: the news in a datagram

    :raises msgspec.DecodeError: if it holds none
    """
    return _DECODER.decode(data)


def build_load_news(upstream: str, share: UpstreamShare) -> LoadNews:
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
    )


def read_load_news(load: LoadNews) -> UpstreamShare:
    """:returns: what another VM has at one upstream"""
    return UpstreamShare(
        load.n_requests,
        load.n_prefill_tokens,
        load.n_kv_tokens,
        load.n_parts,
        Outcomes(load.n_answered, load.n_failed),
        load.incarnation,
    )


__all__ = (
    "CrashNews",
    "LoadNews",
    "PeerNews",
    "build_load_news",
    "decode_news",
    "encode_news",
    "read_load_news",
)
