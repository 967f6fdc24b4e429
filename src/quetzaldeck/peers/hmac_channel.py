"""Peer channel over HTTP, authenticated with shared keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from quetzaldeck.peers.api import PeerChannel, PeerError, PeerIdentity
from quetzaldeck.peers.errors import PeerRefusal, RefusedMessageError
from quetzaldeck.peers.metrics import PeerMetrics
from quetzaldeck.peers.seal import SEAL_HEADER, Seal, decode_seal, encode_seal
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry.log import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.peers.api import PeerHandler
    from quetzaldeck.peers.authenticator import Authenticator

PEER_PATH = "/v1/peer/"
MAX_BODY_BYTES = 2 << 20
HTTP_OK = 200
HTTP_UNAUTHORIZED = 401
HTTP_CONFLICT = 409
HTTP_FAILED = 500
# Headers that aiohttp adds by default and no agent reads; at one exchange per second
# they would account for a tenth of the control traffic.
_UNUSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class PeerAnswer(NamedTuple):
    """Parts of the HTTP response to a peer request.

    :param seal: value of the seal header; ``""`` if the request was refused, unless
        only its epoch was wrong
    """

    status: int
    seal: str
    body: bytes


class HmacPeerChannel(PeerChannel):
    """Sends requests by HTTP POST; the agent's HTTP server calls :meth:`answer`.

    :param authenticator: signs and verifies every message
    :param session: connection pool, owned by the caller
    :param on_message: called for every authentic message with its sender, and whether
        the message answers a request of this agent
    :param metrics: counts messages, bytes and refusals
    """

    def __init__(
        self,
        authenticator: Authenticator,
        session: aiohttp.ClientSession,
        *,
        on_message: Callable[[PeerIdentity, bool], None] | None = None,
        metrics: PeerMetrics | None = None,
    ) -> None:
        self._authenticator = authenticator
        self._session = session
        self._on_message = on_message or _ignore
        self._handlers: dict[str, PeerHandler] = {}
        self.metrics = metrics or PeerMetrics()

    @property
    def identity(self) -> PeerIdentity:
        """:returns: this agent"""
        return self._authenticator.identity

    @property
    def has_keys(self) -> bool:
        """:returns: whether keys are configured; without keys no peer is contacted"""
        return self._authenticator.has_keys

    def register(self, kind: str, handler: PeerHandler) -> None:
        """Answer requests of a kind; see :meth:`PeerChannel.register`."""
        if kind in self._handlers:
            msg = f"peer message kind {kind!r} already has a handler; use another kind"
            raise ValueError(msg)
        self._handlers[kind] = handler

    async def ask(
        self, vm: str, address: str, kind: str, body: bytes, timeout_ms: float
    ) -> tuple[PeerIdentity, bytes]:
        """Send a request and wait; see :meth:`PeerChannel.ask`."""
        if not self._authenticator.has_keys:
            msg = "no peer keys are set; add peers.keys to the agent's settings"
            raise PeerError(msg)
        try:
            async with RunningTimeout(timeout_ms):
                return await self._ask_with_retry(vm, address, kind, body)
        except (aiohttp.ClientError, TimeoutError, OSError, ValueError) as error:
            if isinstance(error, RefusedMessageError):
                self.metrics.count_refused(error.refusal)
            msg = f"{kind} request to {vm} failed: {error!r}"
            raise PeerError(msg) from error

    async def _ask_with_retry(
        self, vm: str, address: str, kind: str, body: bytes
    ) -> tuple[PeerIdentity, bytes]:
        status, identity, answer = await self._ask_once(vm, address, kind, body)
        if status == HTTP_CONFLICT:
            # The peer has restarted or was never asked before. Its answer carried
            # the epoch, so the repeated request can name it.
            status, identity, answer = await self._ask_once(vm, address, kind, body)
        if status != HTTP_OK:
            msg = f"{kind} request to {vm} failed: status {status}"
            raise PeerError(msg)
        self._on_message(identity, True)  # noqa: FBT003 - signature of the callback
        return identity, answer

    async def _ask_once(
        self, vm: str, address: str, kind: str, body: bytes
    ) -> tuple[int, PeerIdentity, bytes]:
        request = self._authenticator.seal_request(vm, kind, body)
        header = encode_seal(request)
        async with self._session.post(
            address + PEER_PATH + kind,
            data=body,
            headers={SEAL_HEADER: header},
            skip_auto_headers=_UNUSED_HEADERS,
        ) as response:
            answer = await response.read()
            seal_value = response.headers.get(SEAL_HEADER, "")
            self.metrics.count_message("sent", len(header) + len(body))
            self.metrics.count_message("received", len(seal_value) + len(answer))
            seal = decode_seal(seal_value)
            identity = self._authenticator.verify_answer(
                request, seal, response.status, answer
            )
            return response.status, identity, answer

    async def answer(self, kind: str, header: str, body: bytes) -> PeerAnswer:
        """Verify a request and have its handler answer it.

        :param header: value of the request's seal header
        """
        self.metrics.count_message("received", len(header) + len(body))
        try:
            seal = decode_seal(header)
            sender = self._authenticator.verify_request(seal, kind, body)
        except RefusedMessageError as error:
            return self._refuse(error, header)
        handler = self._handlers.get(kind)
        if handler is None:
            self.metrics.count_refused(PeerRefusal.UNKNOWN_KIND)
            return self._seal(seal, HTTP_FAILED, b"")
        self._on_message(sender, False)  # noqa: FBT003 - signature of the callback
        try:
            return self._seal(seal, HTTP_OK, await handler(sender, body))
        except ValueError as error:
            log_event("peer_message_failed", level="WARNING", kind=kind, error=error)
            return self._seal(seal, HTTP_FAILED, b"")

    def _refuse(self, error: RefusedMessageError, header: str) -> PeerAnswer:
        self.metrics.count_refused(error.refusal)
        if error.refusal is PeerRefusal.WRONG_EPOCH:
            # The request is authentic but names an earlier or unknown epoch; the
            # sealed answer tells the sender the current one.
            return self._seal(decode_seal(header), HTTP_CONFLICT, b"")
        log_event("peer_message_refused", level="WARNING", why=error)
        return PeerAnswer(HTTP_UNAUTHORIZED, "", b"")

    def _seal(self, request: Seal, status: int, body: bytes) -> PeerAnswer:
        seal = encode_seal(self._authenticator.seal_answer(request, status, body))
        self.metrics.count_message("sent", len(seal) + len(body))
        return PeerAnswer(status, seal, body)


def _ignore(identity: PeerIdentity, is_answer: bool) -> None:  # noqa: FBT001
    return None


__all__ = ("MAX_BODY_BYTES", "PEER_PATH", "HmacPeerChannel", "PeerAnswer")
