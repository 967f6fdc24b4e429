"""Encoding of a bundle for other agents: as a patch, or in full."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.bundle.signing import (
    Envelope,
    SignatureError,
    decode_envelope,
    encode_envelope,
)
from quetzaldeck.bundle.store import digest_payload
from quetzaldeck.dissemination.bundle_patch import (
    BundlePatch,
    apply_patch,
    make_patch,
)
from quetzaldeck.json_decoder import JsonDecoder

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_BUNDLE_BYTES = 8 << 20
"""Size of a decompressed answer above which it is refused."""
_PATCH = b"p"
_FULL = b"w"


class BundleRequest(NamedTuple):
    """Asks a peer for its bundle.

    :param digest: digest of the payload that the sender has; 0 if it has none or
        requests the full bundle
    """

    digest: int


class PatchedEnvelope(NamedTuple):
    """An envelope with a patch in place of its payload."""

    key_id: str
    signature: str
    patch: BundlePatch


_PATCHED_DECODER = JsonDecoder(PatchedEnvelope)


def encode_answer(
    envelope: Envelope, digest: int, previous_payloads: Sequence[str]
) -> bytes:
    """:returns: the envelope as a patch of the requester's bundle, or in full

    :param digest: digest of the payload that the requester has
    :param previous_payloads: payloads previously in force here, to build patches from
    """
    for payload in previous_payloads:
        if digest_payload(payload) != digest:
            continue
        patch = make_patch(payload, envelope.payload)
        if patch is not None:
            patched = PatchedEnvelope(envelope.key_id, envelope.signature, patch)
            return _PATCH + zlib.compress(msgspec.json.encode(patched))
    return _FULL + zlib.compress(encode_envelope(envelope))


def decode_answer(answer: bytes, payload: str | None) -> Envelope:
    """:returns: the envelope in an answer; its signature is not checked here

    :param payload: the payload that this agent has in force, whose digest it sent in
        its request
    :raises SignatureError: if the answer cannot be decoded
    """
    kind, compressed = answer[:1], answer[1:]
    data = _decompress(compressed)
    if kind == _FULL:
        return decode_envelope(data)
    if kind != _PATCH or payload is None:
        msg = (
            "the peer's answer is neither a full bundle nor a patch of the one in force"
        )
        raise SignatureError(msg)
    try:
        patched = _PATCHED_DECODER.decode(data)
    except msgspec.DecodeError as error:
        msg = f"the peer's answer is not a valid bundle patch: {error}"
        raise SignatureError(msg) from error
    rebuilt = apply_patch(payload, patched.patch)
    if rebuilt is None:
        msg = "the peer's patch does not apply to the bundle in force"
        raise SignatureError(msg)
    return Envelope(patched.key_id, patched.signature, rebuilt)


def _decompress(compressed: bytes) -> bytes:
    # The size is limited, so that a small answer cannot expand to fill the memory.
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_BUNDLE_BYTES)
    except zlib.error as error:
        msg = f"the peer's answer cannot be decompressed: {error}"
        raise SignatureError(msg) from error
    if not decompressor.eof:
        msg = f"the peer's answer is truncated or over {MAX_BUNDLE_BYTES} bytes"
        raise SignatureError(msg)
    return data


__all__ = (
    "BundleRequest",
    "decode_answer",
    "encode_answer",
)
