"""Tests of the encoding of signed bundles."""

from __future__ import annotations

import base64
import zlib

import msgspec
import pytest

from quetzaldeck.bundle import MAX_ENVELOPE_BYTES, MAX_PAYLOAD_BYTES
from quetzaldeck.bundle.signing import (
    SignatureError,
    decode_envelope,
    encode_envelope,
    sign_bundle,
)
from quetzaldeck.capacity.bundle_size import build_large_bundle

N_CUSTOMERS_DESIGNED_FOR = 9_200


def test_encode_envelope_fits_the_configuration_service(
    key_pair: tuple[str, str],
) -> None:
    """Guards against a bundle of 9,200 customers that cannot be rolled out.

    That number is expected within two years. The plain JSON has 1.8 MB, and the
    configuration service stores at most 1 MB.
    """
    bundle = build_large_bundle(N_CUSTOMERS_DESIGNED_FOR)
    envelope = sign_bundle(bundle, "ops", key_pair[0])
    data = encode_envelope(envelope)
    assert len(data) <= MAX_ENVELOPE_BYTES
    assert decode_envelope(data) == envelope


def test_decode_envelope_limits_decompressed_size() -> None:
    """Guards against a payload of a few kilobytes that decompresses to far more.

    The payload is decompressed before its signature is verified; without a limit, the
    agent would run out of memory.
    """
    compressed = zlib.compress(b" " * (MAX_PAYLOAD_BYTES + 1))
    payload = base64.b64encode(compressed).decode()
    data = msgspec.json.encode(["ops", "signature", payload])
    with pytest.raises(SignatureError, match="truncated or has over 4000000 bytes"):
        decode_envelope(data)


@pytest.mark.parametrize("data", [b"", b"[]", b'["a","b","c"]', b'["a","b","AAAA"]'])
def test_decode_envelope_rejects_other_data(data: bytes) -> None:
    with pytest.raises(SignatureError, match="this is not a signed bundle"):
        decode_envelope(data)
