"""The task that fetches newer bundles from peers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle.signing import SignatureError
from quetzaldeck.bundle.store import Offer, digest_payload
from quetzaldeck.dissemination.bundle_answer import (
    BundleRequest,
    decode_answer,
    encode_answer,
)
from quetzaldeck.peers import PeerError
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bundle.signing import Envelope
    from quetzaldeck.bundle.store import BundleStore
    from quetzaldeck.dissemination import GossipMessage
    from quetzaldeck.peers import PeerChannel, PeerIdentity
    from quetzaldeck.telemetry import AgentMetrics

BUNDLE_KIND = "bundle"
FETCH_TIMEOUT_MS = 3_000.0
N_REFUSED_KEPT = 64
# Payloads that a change can be made from: peers are hardly ever further behind.
N_FORMER_KEPT = 2
_REQUEST_DECODER = msgspec.json.Decoder(BundleRequest)


class Offered(NamedTuple):
    """A bundle that a peer has."""

    vm: str
    address: str
    version: int
    digest: int


class BundleExchange:
    """Fetches what a peer has in force and this VM has not, one at a time.

    :param on_accepted: called when a bundle has come in force, from any side
    """

    def __init__(
        self,
        channel: PeerChannel,
        store: BundleStore,
        metrics: AgentMetrics,
        *,
        on_accepted: Callable[[], None],
    ) -> None:
        self._channel = channel
        self._store = store
        self._metrics = metrics
        self._on_accepted = on_accepted
        self._offered: dict[tuple[int, int], Offered] = {}
        self._has_offers = asyncio.Event()
        self._refused: deque[tuple[int, int]] = deque(maxlen=N_REFUSED_KEPT)
        self._is_fetching = False
        self._former: deque[str] = deque(maxlen=N_FORMER_KEPT)
        self._answers: dict[tuple[int, int], bytes] = {}
        channel.register(BUNDLE_KIND, self._answer)

    @property
    def is_idle(self) -> bool:
        """:returns: whether no peer is known to have a newer bundle"""
        return not self._offered and not self._is_fetching

    def notice(self, gossip: GossipMessage) -> None:
        """Note which bundle a peer has in force."""
        version, digest = gossip.bundle_version, gossip.bundle_digest
        is_wanted = version > self._store.version or (
            # Two contents of one version are fetched once, to be reported.
            version == self._store.version and digest != self._store.digest
        )
        if not version or not is_wanted or (version, digest) in self._refused:
            return
        sender = gossip.sender
        self._offered[version, digest] = Offered(
            sender.vm, sender.address, version, digest
        )
        self._has_offers.set()

    def take(self, envelope: Envelope, source: str) -> Offer:
        """Offer an envelope to the store and report what became of it.

        :param source: ``service`` or ``peer``
        """
        held = self._store.envelope
        offer = self._store.offer(envelope)
        if offer is Offer.ACCEPTED:
            if held is not None:
                self._former.append(held.payload)
            self._metrics.bundle_version.set(self._store.version)
            self._metrics.bundles_accepted.labels(source).inc()
            log_event("bundle_in_force", version=self._store.version, source=source)
            self._on_accepted()
        elif offer is not Offer.KNOWN:
            self.refuse(offer, self._store.detail)
        return offer

    def refuse(self, offer: Offer, detail: str) -> None:
        """Report a bundle that does not come in force."""
        self._metrics.bundles_refused.labels(offer.value).inc()
        level = "WARNING" if offer is Offer.OLDER else "ERROR"
        log_event("bundle_refused", level=level, why=offer.value, detail=detail)

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self._has_offers.wait()
            while self._offered:
                offered = self._offered.pop(max(self._offered))
                if offered.version >= self._store.version:
                    self._is_fetching = True
                    await self._fetch(offered)
                    self._is_fetching = False
            self._has_offers.clear()

    async def _fetch(self, offered: Offered) -> None:
        # A change that does not lead to the bundle offered is no loss: asked again,
        # without naming what is held, the peer sends the whole.
        held = self._store.envelope
        envelope = await self._ask(offered, None if held is None else held.payload)
        if held is not None and not _is_offered(envelope, offered):
            envelope = await self._ask(offered, None)
        if envelope is None:
            # The next exchange with any peer that has it offers it again.
            return
        if self.take(envelope, "peer") not in (Offer.ACCEPTED, Offer.KNOWN):
            # What was refused is not fetched at each exchange again.
            self._refused.append((offered.version, offered.digest))

    async def _ask(self, offered: Offered, payload: str | None) -> Envelope | None:
        digest = 0 if payload is None else digest_payload(payload)
        request = msgspec.json.encode(BundleRequest(digest))
        try:
            _, answer = await self._channel.ask(
                offered.vm, offered.address, BUNDLE_KIND, request, FETCH_TIMEOUT_MS
            )
            self._metrics.bundle_bytes.inc(len(answer))
            return decode_answer(answer, payload)
        except (PeerError, SignatureError) as error:
            log_event("bundle_fetch_failed", level="WARNING", error=error)
            return None

    async def _answer(self, sender: PeerIdentity, body: bytes) -> bytes:
        envelope = self._store.envelope
        if envelope is None:
            msg = "there is no bundle to hand over"
            raise ValueError(msg)
        request = _REQUEST_DECODER.decode(body)
        key = (request.digest, self._store.digest)
        if key not in self._answers:
            # Many peers ask for the same change at the same time.
            answer = encode_answer(envelope, request.digest, tuple(self._former))
            self._answers.clear()
            self._answers[key] = answer
        return self._answers[key]


def _is_offered(envelope: Envelope | None, offered: Offered) -> bool:
    return envelope is not None and digest_payload(envelope.payload) == offered.digest


__all__ = ("BundleExchange",)
