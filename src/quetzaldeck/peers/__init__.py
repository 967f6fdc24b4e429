"""The authenticated channel between agents.

``HmacPeerChannel`` sends and answers requests over HTTP. ``Authenticator`` signs and
verifies messages independently of the transport. See docs/design/membership.md.

>>> from quetzaldeck.peers import (
...     Authenticator, PeerIdentity, PeerSettings, RefusedMessageError)
>>> keys = PeerSettings({"k1": "a shared secret of the fleet"})
>>> a = Authenticator(PeerIdentity("a", "a.1"), keys)
>>> b = Authenticator(PeerIdentity("b", "b.1"), keys)
>>> first = a.seal_request("b", "gossip", b"hello")
>>> try:
...     b.verify_request(first, "gossip", b"hello")
... except RefusedMessageError as error:  # a has not learned b's epoch yet
...     print(error.refusal.value)
...     answer = b.seal_answer(first, 409, b"")
wrong_epoch
>>> a.verify_answer(first, answer, 409, b"").vm
'b'
>>> second = a.seal_request("b", "gossip", b"hello")
>>> b.verify_request(second, "gossip", b"hello").vm
'a'
>>> try:
...     b.verify_request(second, "gossip", b"hello")
... except RefusedMessageError as error:
...     print(error.refusal.value)
replayed
"""

from __future__ import annotations

from quetzaldeck.peers.api import PeerChannel, PeerError, PeerIdentity
from quetzaldeck.peers.authenticator import (
    Authenticator,
    PeerKeyError,
    check_peer_settings,
)
from quetzaldeck.peers.errors import PeerRefusal, RefusedMessageError
from quetzaldeck.peers.hmac_channel import HmacPeerChannel, PeerAnswer
from quetzaldeck.peers.metrics import PeerMetrics
from quetzaldeck.peers.settings import PeerSettings

__all__ = (
    "Authenticator",
    "HmacPeerChannel",
    "PeerAnswer",
    "PeerChannel",
    "PeerError",
    "PeerIdentity",
    "PeerKeyError",
    "PeerMetrics",
    "PeerRefusal",
    "PeerSettings",
    "RefusedMessageError",
    "check_peer_settings",
)
