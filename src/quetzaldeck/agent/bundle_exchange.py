"""The task that fetches newer bundles from peers."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle.signing import SignatureError
from quetzaldeck.bundle.store import OfferResult, digest_payload
from quetzaldeck.dissemination.bundle_answer import (
    BundleRequest,
    decode_answer,
    encode_answer,
)
from quetzaldeck.json_decoder import JsonDecoder
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
MAX_REFUSED = 64
# Previous payloads kept to build patches from; peers are rarely further behind.
MAX_PREVIOUS_PAYLOADS = 2
_REQUEST_DECODER = JsonDecoder(BundleRequest)


class PeerBundle(NamedTuple):
    """A bundle that a peer has in force, as announced by gossip."""

    vm: str
    address: str
    version: int
    digest: int


class BundleExchange:
    """Fetches newer bundles from peers, one at a time, and serves this VM's bundle.

    :param on_accepted: called when a bundle has taken effect, whether it was read from
        the configuration service or from a peer
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
        self._peer_bundles: dict[tuple[int, int], PeerBundle] = {}
        self._has_peer_bundles = asyncio.Event()
        self._refused: deque[tuple[int, int]] = deque(maxlen=MAX_REFUSED)
        self._is_fetching = False
        self._previous_payloads: deque[str] = deque(maxlen=MAX_PREVIOUS_PAYLOADS)
        self._answers: dict[tuple[int, int], bytes] = {}
        channel.register(BUNDLE_KIND, self._answer_request)

    @property
    def is_idle(self) -> bool:
        """:returns: whether no newer bundle of a peer is known or being fetched"""
        return not self._peer_bundles and not self._is_fetching

    def note_gossip(self, gossip: GossipMessage) -> None:
        """Note which bundle a peer has in force, to fetch it if it is newer."""
        version, digest = gossip.bundle_version, gossip.bundle_digest
        is_wanted = version > self._store.version or (
            # A different bundle of the same version is fetched once, to report it.
            version == self._store.version and digest != self._store.digest
        )
        if not version or not is_wanted or (version, digest) in self._refused:
            return
        sender = gossip.sender
        self._peer_bundles[version, digest] = PeerBundle(
            sender.vm, sender.address, version, digest
        )
        self._has_peer_bundles.set()

    def offer_to_store(self, envelope: Envelope, source: str) -> OfferResult:
        """Offer an envelope to the store and report the result.

        :param source: ``service`` or ``peer``
        """
        held = self._store.envelope
        offer = self._store.offer(envelope)
        if offer is OfferResult.ACCEPTED:
            if held is not None:
                self._previous_payloads.append(held.payload)
            self._metrics.bundle_version.set(self._store.version)
            self._metrics.bundles_accepted.labels(source).inc()
            log_event("bundle_in_force", version=self._store.version, source=source)
            self._on_accepted()
        elif offer is not OfferResult.KNOWN:
            self.report_refusal(offer, self._store.detail)
        return offer

    def report_refusal(self, offer: OfferResult, detail: str) -> None:
        """Report a refused bundle in metrics and log."""
        self._metrics.bundles_refused.labels(offer.value).inc()
        level = "WARNING" if offer is OfferResult.OLDER else "ERROR"
        log_event("bundle_refused", level=level, why=offer.value, detail=detail)

    async def run(self) -> None:
        """Fetch until cancelled."""
        while True:
            await self._has_peer_bundles.wait()
            while self._peer_bundles:
                wanted = self._peer_bundles.pop(max(self._peer_bundles))
                if wanted.version >= self._store.version:
                    self._is_fetching = True
                    await self._fetch(wanted)
                    self._is_fetching = False
            self._has_peer_bundles.clear()

    async def _fetch(self, wanted: PeerBundle) -> None:
        # If the peer's patch does not result in the announced bundle, the request is
        # repeated without a digest, so that the peer sends the full bundle.
        held = self._store.envelope
        envelope = await self._request(wanted, None if held is None else held.payload)
        if held is not None and not _is_wanted_bundle(envelope, wanted):
            envelope = await self._request(wanted, None)
        if envelope is None:
            # The next gossip message of a peer that has the bundle announces it again.
            return
        if self.offer_to_store(envelope, "peer") not in (
            OfferResult.ACCEPTED,
            OfferResult.KNOWN,
        ):
            # Otherwise it would be fetched again at every gossip message.
            self._refused.append((wanted.version, wanted.digest))

    async def _request(
        self, wanted: PeerBundle, payload: str | None
    ) -> Envelope | None:
        digest = 0 if payload is None else digest_payload(payload)
        request = msgspec.json.encode(BundleRequest(digest))
        try:
            _, answer = await self._channel.ask(
                wanted.vm, wanted.address, BUNDLE_KIND, request, FETCH_TIMEOUT_MS
            )
            self._metrics.bundle_bytes.inc(len(answer))
            return decode_answer(answer, payload)
        except (PeerError, SignatureError) as error:
            log_event("bundle_fetch_failed", level="WARNING", error=error)
            return None

    async def _answer_request(self, sender: PeerIdentity, body: bytes) -> bytes:
        envelope = self._store.envelope
        if envelope is None:
            msg = "a peer requested a bundle, but none is in force here"
            raise ValueError(msg)
        request = _REQUEST_DECODER.decode(body)
        key = (request.digest, self._store.digest)
        if key not in self._answers:
            # Cached because many peers request the same patch at the same time.
            answer = encode_answer(
                envelope, request.digest, tuple(self._previous_payloads)
            )
            self._answers.clear()
            self._answers[key] = answer
        return self._answers[key]


def _is_wanted_bundle(envelope: Envelope | None, wanted: PeerBundle) -> bool:
    return envelope is not None and digest_payload(envelope.payload) == wanted.digest


__all__ = ("BundleExchange",)
