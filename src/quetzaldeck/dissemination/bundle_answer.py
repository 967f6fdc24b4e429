"""How a bundle travels between agents."""

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

if TYPE_CHECKING:
    from collections.abc import Sequence

MAX_BUNDLE_BYTES = 8 << 20
_PATCH = b"p"
_FULL = b"w"


class BundleRequest(NamedTuple):
    """Asks a peer for its bundle.

    :param digest: of the payload that the sender has; 0 if it has none, or wants
        the bundle whole
    """

    digest: int


class PatchedEnvelope(NamedTuple):
    """An envelope whose payload is told as a change."""

    key_id: str
    signature: str
    patch: BundlePatch


_PATCHED_DECODER = msgspec.json.Decoder(PatchedEnvelope)


def encode_answer(
    envelope: Envelope, digest: int, former_payloads: Sequence[str]
) -> bytes:
    """:returns: the envelope as a change of what the asker has, or whole

    :param digest: of the payload that the asker has
    :param former_payloads: payloads held before, to make a change from
    """
    for payload in former_payloads:
        if digest_payload(payload) != digest:
            continue
        patch = make_patch(payload, envelope.payload)
        if patch is not None:
            patched = PatchedEnvelope(envelope.key_id, envelope.signature, patch)
            return _PATCH + zlib.compress(msgspec.json.encode(patched))
    return _FULL + zlib.compress(encode_envelope(envelope))


def decode_answer(answer: bytes, payload: str | None) -> Envelope:
    """:returns: the envelope in an answer; its signature is not checked here

    :param payload: what this agent has in force, as told in its request
    :raises SignatureError: if the answer cannot be read
    """
    kind, compressed = answer[:1], answer[1:]
    data = _decompress(compressed)
    if kind == _FULL:
        return decode_envelope(data)
    if kind != _PATCH or payload is None:
        msg = "the peer's answer is neither a bundle nor a change of the one held"
        raise SignatureError(msg)
    try:
        patched = _PATCHED_DECODER.decode(data)
    except msgspec.DecodeError as error:
        msg = f"this is not a change of a bundle: {error}"
        raise SignatureError(msg) from error
    rebuilt = apply_patch(payload, patched.patch)
    if rebuilt is None:
        msg = "the peer's change is not one of the bundle held"
        raise SignatureError(msg)
    return Envelope(patched.key_id, patched.signature, rebuilt)


def _decompress(compressed: bytes) -> bytes:
    # Bounded: a small answer must not grow to fill the agent's memory.
    decompressor = zlib.decompressobj()
    try:
        data = decompressor.decompress(compressed, MAX_BUNDLE_BYTES)
    except zlib.error as error:
        msg = f"the peer's answer cannot be unpacked: {error}"
        raise SignatureError(msg) from error
    if not decompressor.eof:
        msg = f"the peer's bundle is cut off or over {MAX_BUNDLE_BYTES} bytes"
        raise SignatureError(msg)
    return data


__all__ = (
    "BundleRequest",
    "decode_answer",
    "encode_answer",
)
