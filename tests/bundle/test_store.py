"""Tests of the bundle store."""

from __future__ import annotations

import pytest

from quetzaldeck.bundle import Bundle, ModelSpec
from quetzaldeck.bundle.signing import Envelope, generate_key, sign_bundle
from quetzaldeck.bundle.store import BundleStore, OfferResult

VALID_UNTIL_MS = 4_000_000_000_000


def make_envelope(
    version: int, private_key: str, model: str = "m", key_id: str = "ops"
) -> Envelope:
    models = (ModelSpec(model, "1"),)
    return sign_bundle(Bundle(version, VALID_UNTIL_MS, models), key_id, private_key)


def test_offer_never_lowers_the_version(key_pair: tuple[str, str]) -> None:
    """Guards against a VM that goes back to an old bundle.

    The configuration service returns the old bundle after a newer one.
    """
    private_key, public_key = key_pair
    store = BundleStore({"ops": public_key})
    assert store.offer(make_envelope(2, private_key)) is OfferResult.ACCEPTED
    assert store.offer(make_envelope(1, private_key)) is OfferResult.OLDER
    assert store.version == 2


def test_offer_keeps_the_first_of_two_contents(key_pair: tuple[str, str]) -> None:
    private_key, public_key = key_pair
    store = BundleStore({"ops": public_key})
    store.offer(make_envelope(2, private_key, "first"))
    assert store.offer(make_envelope(2, private_key, "second")) is OfferResult.CONFLICT
    assert store.bundle is not None
    assert store.bundle.models[0].name == "first"


@pytest.mark.parametrize("trusted", [{}, {"other": "x"}])
def test_offer_rejects_untrusted_key(
    trusted: dict[str, str], key_pair: tuple[str, str]
) -> None:
    store = BundleStore(trusted)
    assert store.offer(make_envelope(1, key_pair[0])) is OfferResult.BAD_SIGNATURE
    assert "is not trusted here" in store.detail


def test_offer_rejects_tampered_payload(key_pair: tuple[str, str]) -> None:
    private_key, public_key = key_pair
    store = BundleStore({"ops": public_key})
    envelope = make_envelope(1, private_key)
    tampered = envelope._replace(payload=envelope.payload.replace('"m"', '"n"'))
    assert store.offer(tampered) is OfferResult.BAD_SIGNATURE
    assert "does not match the bundle" in store.detail


def test_offer_accepts_bundles_of_both_keys_during_key_rotation() -> None:
    """Guards against a key rotation that interrupts the rollout of bundles.

    Agents trust both keys for a time. Once the old key is removed from their settings,
    bundles signed with it are rejected.
    """
    old_private, old_public = generate_key()
    new_private, new_public = generate_key()
    both = BundleStore({"old": old_public, "new": new_public})
    first = make_envelope(1, old_private, key_id="old")
    assert both.offer(first) is OfferResult.ACCEPTED
    second = make_envelope(2, new_private, key_id="new")
    assert both.offer(second) is OfferResult.ACCEPTED
    after = BundleStore({"new": new_public})
    third = make_envelope(3, old_private, key_id="old")
    assert after.offer(third) is OfferResult.BAD_SIGNATURE
    assert "'old' is not trusted here; trusted keys: new" in after.detail
