"""Signed bundles, with an Ed25519 signature over the canonical JSON."""

from __future__ import annotations

import base64
import binascii
import zlib
from typing import TYPE_CHECKING, NamedTuple

import msgspec
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives.asymmetric.ed25519 import (
    Ed25519PrivateKey,
    Ed25519PublicKey,
)

from quetzaldeck.bundle.check import MAX_ENVELOPE_BYTES, MAX_PAYLOAD_BYTES
from quetzaldeck.bundle.codec import decode_bundle, encode_bundle
from quetzaldeck.json_decoder import JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Mapping

    from quetzaldeck.bundle.document import Bundle


class Envelope(NamedTuple):
    """A signed bundle as it is stored and sent.

    :param key_id: name of the signing key
    :param signature: base64 of the Ed25519 signature over ``payload``
    :param payload: canonical JSON of the bundle
    """

    key_id: str
    signature: str
    payload: str


class SignatureError(ValueError):
    """Raised for a signing key, signature or envelope that is not valid."""


def generate_key() -> tuple[str, str]:
    """:returns: a new private key and its public key, both in base64"""
    private_key = Ed25519PrivateKey.generate()
    public_bytes = private_key.public_key().public_bytes_raw()
    return _encode(private_key.private_bytes_raw()), _encode(public_bytes)


def sign_bundle(bundle: Bundle, key_id: str, private_key: str) -> Envelope:
    """:returns: ``bundle`` signed with ``private_key`` (base64)

    :param key_id: name under which the agents trust the public key
    :raises SignatureError: if ``private_key`` is not an Ed25519 private key
    """
    try:
        key = Ed25519PrivateKey.from_private_bytes(base64.b64decode(private_key))
    except (ValueError, binascii.Error) as error:
        msg = f"the private key cannot be read: {error}; create one with bundle keygen"
        raise SignatureError(msg) from error
    payload = encode_bundle(bundle)
    return Envelope(key_id, _encode(key.sign(payload)), payload.decode())


def verify_envelope(envelope: Envelope, public_keys: Mapping[str, str]) -> Bundle:
    """Verify the signature, then decode and check the bundle.

    :param public_keys: trusted public keys (base64) by key id
    :raises SignatureError: if no trusted key made the signature
    :raises FindingsError: if the bundle has faults
    """
    public_key = public_keys.get(envelope.key_id)
    if public_key is None:
        known = ", ".join(sorted(public_keys)) or "none"
        msg = f"key {envelope.key_id!r} is not trusted here; trusted keys: {known}"
        raise SignatureError(msg)
    payload = envelope.payload.encode()
    try:
        key = Ed25519PublicKey.from_public_bytes(base64.b64decode(public_key))
        key.verify(base64.b64decode(envelope.signature), payload)
    except (InvalidSignature, ValueError, binascii.Error) as error:
        msg = f"the signature of key {envelope.key_id!r} does not match the bundle"
        raise SignatureError(msg) from error
    return decode_bundle(payload)


def encode_envelope(envelope: Envelope) -> bytes:
    """Encode an envelope for the configuration service.

    The payload is compressed with deflate: a bundle of 9,200 customers has 1.8 MB of
    JSON, and the service stores values of at most 1 MB.

    :returns: the envelope as JSON, with its compressed payload in base64
    :raises SignatureError: if the result exceeds ``MAX_ENVELOPE_BYTES``
    """
    compressed = _encode(zlib.compress(envelope.payload.encode()))
    data = msgspec.json.encode(envelope._replace(payload=compressed))
    if len(data) > MAX_ENVELOPE_BYTES:
        msg = (
            f"the signed bundle has {len(data)} bytes; the configuration service "
            f"stores {MAX_ENVELOPE_BYTES}: shorten names or remove unused entries"
        )
        raise SignatureError(msg)
    return data


_ENVELOPE_DECODER = JsonDecoder(Envelope)


def decode_envelope(data: bytes) -> Envelope:
    """:returns: the envelope in ``data``, with its payload decompressed

    :raises SignatureError: if ``data`` is not an encoded envelope
    """
    try:
        envelope = _ENVELOPE_DECODER.decode(data)
        compressed = base64.b64decode(envelope.payload, validate=True)
        return envelope._replace(payload=_decompress(compressed).decode())
    except (msgspec.DecodeError, ValueError, zlib.error) as error:
        msg = f"this is not a signed bundle: {error}"
        raise SignatureError(msg) from error


def _decompress(compressed: bytes) -> bytes:
    """Decompress a payload, up to ``MAX_PAYLOAD_BYTES``.

    The signature covers the decompressed payload, so these bytes are not verified yet.
    Without a limit, a few kilobytes could decompress until memory is exhausted.

    :raises ValueError: if the payload is truncated or too long
    """
    inflater = zlib.decompressobj()
    payload = inflater.decompress(compressed, MAX_PAYLOAD_BYTES)
    if inflater.unconsumed_tail or not inflater.eof:
        msg = f"the payload is truncated or has over {MAX_PAYLOAD_BYTES} bytes"
        raise ValueError(msg)
    return payload


def _encode(data: bytes) -> str:
    return base64.b64encode(data).decode()


__all__ = (
    "Envelope",
    "SignatureError",
    "decode_envelope",
    "encode_envelope",
    "generate_key",
    "sign_bundle",
    "verify_envelope",
)
