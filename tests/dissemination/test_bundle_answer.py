"""Bundles sent between agents, as a patch or in full."""

from __future__ import annotations

import zlib

import pytest

from quetzaldeck.bundle import Bundle, CustomerSpec, ModelSpec
from quetzaldeck.bundle.signing import SignatureError, sign_bundle
from quetzaldeck.bundle.store import digest_payload
from quetzaldeck.dissemination.bundle_answer import (
    decode_answer,
    encode_answer,
)

N_CUSTOMERS = 1_000


def make_bundle(version: int, n_customers: int = N_CUSTOMERS) -> Bundle:
    customers = tuple(
        CustomerSpec(f"club-{n}", (f"{n:064x}",), models=("plan",))
        for n in range(n_customers)
    )
    return Bundle(version, 4_000_000_000_000, (ModelSpec("plan", "1"),), customers)


def change_one(bundle: Bundle) -> Bundle:
    changed = bundle.customers[7]._replace(priority=1)
    customers = (*bundle.customers[:7], changed, *bundle.customers[8:])
    return bundle._replace(customers=customers)


CHANGES = {
    "one customer": change_one(make_bundle(2)),
    "one more": make_bundle(2, N_CUSTOMERS + 1),
    "one less": make_bundle(2, N_CUSTOMERS - 1),
    "reordered": make_bundle(2)._replace(customers=make_bundle(2).customers[::-1]),
    "profile": make_bundle(2)._replace(profile="first_token"),
    "none left": make_bundle(2)._replace(customers=()),
}


@pytest.mark.parametrize("name", CHANGES)
def test_a_patch_reproduces_the_signed_bundle(
    name: str, key_pair: tuple[str, str]
) -> None:
    old = sign_bundle(make_bundle(1), "ops", key_pair[0])
    new = sign_bundle(CHANGES[name], "ops", key_pair[0])
    answer = encode_answer(new, digest_payload(old.payload), [old.payload])
    assert answer.startswith(b"p")
    assert decode_answer(answer, old.payload) == new


def test_a_patch_for_one_customer_is_small(key_pair: tuple[str, str]) -> None:
    """Guards the control traffic: 2,400 full bundles a day exceed a node's share."""
    old = sign_bundle(make_bundle(1), "ops", key_pair[0])
    new = sign_bundle(CHANGES["one customer"], "ops", key_pair[0])
    patch = encode_answer(new, digest_payload(old.payload), [old.payload])
    full = encode_answer(new, 0, [old.payload])
    assert decode_answer(full, None) == new
    assert len(patch) < 1_000 < len(full)


def test_a_patch_of_another_bundle_is_refused(key_pair: tuple[str, str]) -> None:
    """The requester's bundle is not the one from which the peer built the patch.

    The rebuilt payload then differs from the signed one, so its signature is invalid.
    """
    old = sign_bundle(make_bundle(1), "ops", key_pair[0])
    new = sign_bundle(CHANGES["one customer"], "ops", key_pair[0])
    answer = encode_answer(new, digest_payload(old.payload), [old.payload])
    other = sign_bundle(make_bundle(1, 5), "ops", key_pair[0])
    assert decode_answer(answer, other.payload).payload != new.payload
    with pytest.raises(SignatureError, match="neither a full bundle nor a patch"):
        decode_answer(answer, None)


@pytest.mark.parametrize(
    ("answer", "message"),
    [
        (b"", "truncated"),
        (b"w", "truncated"),
        (b"wxx", "cannot be decompressed"),
        (b"w" + zlib.compress(bytes(9 << 20)), "over 8388608 bytes"),
        (b"p" + zlib.compress(b"{}"), "not a valid bundle patch"),
        (b"z" + zlib.compress(b"{}"), "neither a full bundle nor a patch"),
    ],
)
def test_an_undecodable_answer_is_refused(answer: bytes, message: str) -> None:
    with pytest.raises(SignatureError, match=message):
        decode_answer(answer, "{}")
