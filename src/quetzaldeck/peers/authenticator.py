"""Authenticates messages between agents; no I/O, no clock.

Each agent draws a random epoch when it starts. A request carries the recipient's
epoch and a sequence number that the sender uses only once within that epoch. A
replayed request is therefore refused while the recipient runs, and after its restart
because the epoch has changed. A sender that does not know the epoch learns it from
an authenticated answer and repeats the request.

Without replay protection, a copy of an old gossip or leave message would bring back
a dead VM or remove a live one. Nonces that expire by time would need synchronised
clocks.
"""

from __future__ import annotations

import uuid
from collections import defaultdict
from typing import TYPE_CHECKING

from quetzaldeck.peers.api import PeerIdentity
from quetzaldeck.peers.errors import PeerRefusal, RefusedMessageError
from quetzaldeck.peers.replay_window import ReplayWindow
from quetzaldeck.peers.seal import (
    Seal,
    is_answer_authentic,
    is_request_authentic,
    sign_answer,
    sign_request,
)

if TYPE_CHECKING:
    from quetzaldeck.peers.settings import PeerSettings

MIN_SECRET_CHARACTERS = 16
MAX_SENDERS = 4_096


class PeerKeyError(ValueError):
    """The peer keys in the settings are invalid."""


def check_peer_settings(settings: PeerSettings) -> None:
    """Check the peer keys.

    :raises PeerKeyError: if a secret is too short or ``key_id`` is unknown
    """
    for key_id, secret in settings.keys.items():
        if len(secret) < MIN_SECRET_CHARACTERS:
            msg = (
                f"peer key {key_id!r} has {len(secret)} characters; "
                f"use {MIN_SECRET_CHARACTERS} or more"
            )
            raise PeerKeyError(msg)
    if settings.key_id and settings.key_id not in settings.keys:
        known = ", ".join(sorted(settings.keys)) or "none"
        msg = f"peers.key_id names {settings.key_id!r}; peer keys given: {known}"
        raise PeerKeyError(msg)


class Authenticator:
    """Signs the messages that this agent sends and verifies those it receives.

    :param identity: this agent
    :param settings: the fleet's keys
    :raises PeerKeyError: if the keys are invalid
    """

    def __init__(self, identity: PeerIdentity, settings: PeerSettings) -> None:
        check_peer_settings(settings)
        self._identity = identity
        self._keys = dict(settings.keys)
        self._key_id = settings.key_id or next(iter(self._keys), "")
        self._epoch = _draw_epoch()
        self._windows: dict[PeerIdentity, ReplayWindow] = {}
        self._peer_epochs: dict[str, str] = {}
        self._numbers: defaultdict[str, int] = defaultdict(int)

    @property
    def identity(self) -> PeerIdentity:
        """:returns: this agent"""
        return self._identity

    @property
    def epoch(self) -> str:
        """:returns: the epoch that requests to this agent must carry"""
        return self._epoch

    @property
    def has_keys(self) -> bool:
        """:returns: whether keys are configured; without keys no peer is contacted"""
        return bool(self._keys)

    def seal_request(self, recipient: str, kind: str, body: bytes) -> Seal:
        """:returns: the seal of a new request to the agent on ``recipient``"""
        self._numbers[recipient] += 1
        seal = Seal(
            self._key_id,
            self._identity.vm,
            self._identity.incarnation,
            recipient,
            self._peer_epochs.get(recipient, ""),
            self._numbers[recipient],
        )
        return sign_request(seal, kind, body, self._keys[self._key_id])

    def verify_request(self, seal: Seal, kind: str, body: bytes) -> PeerIdentity:
        """Verify a request before it is processed.

        :returns: the sender
        :raises RefusedMessageError: if the request must be ignored
        """
        secret = self._find_secret(seal)
        if not is_request_authentic(seal, kind, body, secret):
            raise RefusedMessageError(PeerRefusal.BAD_SIGNATURE, f"from {seal.vm!r}")
        if seal.recipient != self._identity.vm:
            detail = f"meant for {seal.recipient!r}"
            raise RefusedMessageError(PeerRefusal.WRONG_RECIPIENT, detail)
        if seal.epoch != self._epoch:
            raise RefusedMessageError(PeerRefusal.WRONG_EPOCH, f"from {seal.vm!r}")
        sender = PeerIdentity(seal.vm, seal.incarnation)
        if not self._find_window(sender).accept(seal.number):
            raise RefusedMessageError(PeerRefusal.REPLAYED, f"from {seal.vm!r}")
        return sender

    def seal_answer(self, request: Seal, status: int, body: bytes) -> Seal:
        """:returns: the seal of the answer to ``request``, signed with the same key"""
        seal = Seal(
            request.key_id,
            self._identity.vm,
            self._identity.incarnation,
            request.vm,
            self._epoch,
            request.number,
        )
        secret = self._keys[request.key_id]
        return sign_answer(seal, request.signature, status, body, secret)

    def verify_answer(
        self, request: Seal, seal: Seal, status: int, body: bytes
    ) -> PeerIdentity:
        """Verify the answer to ``request`` and store the epoch of the answering peer.

        :returns: the answering peer
        :raises RefusedMessageError: if it is not the recipient's answer to ``request``
        """
        secret = self._find_secret(seal)
        if not is_answer_authentic(seal, request.signature, status, body, secret):
            detail = f"answer of {request.recipient!r}"
            raise RefusedMessageError(PeerRefusal.BAD_SIGNATURE, detail)
        if seal.vm != request.recipient:
            detail = f"{seal.vm!r} answers for {request.recipient!r}"
            raise RefusedMessageError(PeerRefusal.WRONG_RECIPIENT, detail)
        if self._peer_epochs.get(seal.vm) != seal.epoch:
            self._peer_epochs[seal.vm] = seal.epoch
        return PeerIdentity(seal.vm, seal.incarnation)

    def forget(self, vm: str) -> None:
        """Forget the epoch of a VM that is no longer a member."""
        self._peer_epochs.pop(vm, None)
        self._numbers.pop(vm, None)

    def _find_secret(self, seal: Seal) -> str:
        secret = self._keys.get(seal.key_id)
        if secret is None:
            raise RefusedMessageError(PeerRefusal.UNKNOWN_KEY, repr(seal.key_id))
        return secret

    def _find_window(self, sender: PeerIdentity) -> ReplayWindow:
        window = self._windows.get(sender)
        if window is None:
            if len(self._windows) >= MAX_SENDERS:
                # Evicting a single sender's window would accept replays of its
                # messages; a new epoch invalidates all earlier messages.
                self._windows.clear()
                self._epoch = _draw_epoch()
                detail = f"replay windows of {MAX_SENDERS} senders are in use; retry"
                raise RefusedMessageError(PeerRefusal.WRONG_EPOCH, detail)
            window = self._windows[sender] = ReplayWindow()
        return window


def _draw_epoch() -> str:
    return uuid.uuid4().hex[:12]


__all__ = (
    "MAX_SENDERS",
    "Authenticator",
    "PeerKeyError",
    "check_peer_settings",
)
