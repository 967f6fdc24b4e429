"""The signed header that authenticates a peer message and prevents replays."""

from __future__ import annotations

import hashlib
import hmac
from typing import NamedTuple

import msgspec

from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.peers.errors import PeerRefusal, RefusedMessageError

SEAL_HEADER = "X-Quetzaldeck-Seal"
_REQUEST = "ask"
_ANSWER = "answer"


class Seal(NamedTuple):
    """Sender, recipient and signature of a message.

    :param vm: id of the sender's VM
    :param incarnation: incarnation of the sender's agent
    :param recipient: id of the recipient's VM
    :param epoch: recipient's epoch as far as the sender knows; ``""`` if unknown; in
        an answer, the epoch of the answering agent
    :param number: sequence number of the sender's request to the recipient; an answer
        repeats it
    :param signature: HMAC-SHA256 in hex
    """

    key_id: str
    vm: str
    incarnation: str
    recipient: str
    epoch: str
    number: int
    signature: str = ""


def encode_seal(seal: Seal) -> str:
    """:returns: the header's value"""
    return msgspec.json.encode(seal).decode()


_DECODER = JsonDecoder(Seal)


def decode_seal(value: str) -> Seal:
    """:returns: the seal in a header's value

    :raises RefusedMessageError: if the value is not a seal
    """
    try:
        return _DECODER.decode(value)
    except msgspec.DecodeError as error:
        raise RefusedMessageError(PeerRefusal.UNREADABLE, str(error)) from error


def sign_request(seal: Seal, kind: str, body: bytes, secret: str) -> Seal:
    """:returns: ``seal`` with the signature of a request"""
    return seal._replace(signature=_sign(secret, (_REQUEST, kind, seal), body))


def sign_answer(
    seal: Seal, request_signature: str, status: int, body: bytes, secret: str
) -> Seal:
    """:returns: ``seal`` with the signature of the answer to one request

    The signature covers the request's signature, so that an authentic answer to
    another request is not accepted for this one.
    """
    parts = (_ANSWER, request_signature, status, seal)
    return seal._replace(signature=_sign(secret, parts, body))


def is_request_authentic(seal: Seal, kind: str, body: bytes, secret: str) -> bool:
    """:returns: whether the holder of ``secret`` signed this request"""
    expected = sign_request(seal, kind, body, secret).signature
    return hmac.compare_digest(expected, seal.signature)


def is_answer_authentic(
    seal: Seal, request_signature: str, status: int, body: bytes, secret: str
) -> bool:
    """:returns: whether the holder of ``secret`` signed this answer"""
    expected = sign_answer(seal, request_signature, status, body, secret).signature
    return hmac.compare_digest(expected, seal.signature)


def _sign(secret: str, parts: tuple[object, ...], body: bytes) -> str:
    # JSON delimits the parts, so no two different sequences of parts encode alike.
    *heads, seal = parts
    assert isinstance(seal, Seal)
    head = msgspec.json.encode((*heads, *seal._replace(signature="")))
    digest = hashlib.sha256(body).digest()
    return hmac.new(secret.encode(), head + digest, hashlib.sha256).hexdigest()


__all__ = (
    "SEAL_HEADER",
    "Seal",
    "decode_seal",
    "encode_seal",
    "is_answer_authentic",
    "is_request_authentic",
    "sign_answer",
    "sign_request",
)
