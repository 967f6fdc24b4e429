"""Tests that the fast decoder and the checked loader accept the same documents."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from quetzaldeck.bundle import Bundle, encode_bundle
from quetzaldeck.capacity.bundle_size import build_large_bundle
from quetzaldeck.config import FindingsError, load_data
from quetzaldeck.config.compiled import decode_fast

GOOD: dict[str, Any] = {"version": 1, "valid_until_ms": 1}
CUSTOMER: dict[str, Any] = {"name": "c", "key_hashes": ["k"]}


def test_decode_fast_returns_same_bundle_as_loader() -> None:
    bundle = build_large_bundle(50)
    payload = encode_bundle(bundle)
    assert decode_fast(payload, Bundle) == bundle
    assert load_data(msgspec.json.decode(payload), Bundle, "bundle") == bundle


@pytest.mark.parametrize(
    "fault",
    [
        {"version": 0},
        {"version": "1"},
        {"version": 1.5},
        {"profile": "other"},
        {"unheard": 1},
        {"customers": {}},
        {"customers": [{"name": "c"}]},
        {"customers": [{**CUSTOMER, "name": ""}]},
        {"customers": [{**CUSTOMER, "priority": 10}]},
        {"customers": [{**CUSTOMER, "weight": 0}]},
        {"customers": [{**CUSTOMER, "limits": {"tokens_in_flight": -1}}]},
        {"customers": [{**CUSTOMER, "key_hashes": []}]},
        {"upstreams": [{"name": "u", "address": "a", "checks_fencing": 1}]},
    ],
)
def test_decode_fast_rejects_what_the_loader_rejects(fault: dict[str, Any]) -> None:
    data = {**GOOD, **fault}
    with pytest.raises(msgspec.DecodeError):
        decode_fast(msgspec.json.encode(data), Bundle)
    with pytest.raises(FindingsError):
        load_data(data, Bundle, "bundle")
