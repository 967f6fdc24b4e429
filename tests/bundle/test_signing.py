"""Tests of signed bundles as they are stored and sent."""

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
    """Operators roll a bundle of 9,200 customers.

    As plain JSON it has 1.8 MB; the service holds a megabyte, so the roll-out
    would have ended there, at a size that the users expect within two years.
    """
    bundle = build_large_bundle(N_CUSTOMERS_DESIGNED_FOR)
    envelope = sign_bundle(bundle, "ops", key_pair[0])
    data = encode_envelope(envelope)
    assert len(data) <= MAX_ENVELOPE_BYTES
    assert decode_envelope(data) == envelope


def test_decode_envelope_bounds_what_it_unpacks() -> None:
    """Somebody publishes a few kilobytes that inflate to far more.

    Nothing has been verified yet when they are unpacked: without a bound the
    agent would run out of memory.
    """
    packed = zlib.compress(b" " * (MAX_PAYLOAD_BYTES + 1))
    payload = base64.b64encode(packed).decode()
    data = msgspec.json.encode(["ops", "signature", payload])
    with pytest.raises(SignatureError, match="cut short or over 4000000 bytes"):
        decode_envelope(data)


@pytest.mark.parametrize("data", [b"", b"[]", b'["a","b","c"]', b'["a","b","AAAA"]'])
def test_decode_envelope_refuses_what_is_none(data: bytes) -> None:
    with pytest.raises(SignatureError, match="this is not a signed bundle"):
        decode_envelope(data)
