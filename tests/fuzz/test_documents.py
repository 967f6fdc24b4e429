"""Settings and bundles with arbitrary content: findings, never another error."""

from __future__ import annotations

from contextlib import contextmanager
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.agent import AgentSettings
from quetzaldeck.bundle import (
    Bundle,
    CustomerSpec,
    ModelSpec,
    UpstreamSpec,
    decode_bundle,
    encode_bundle,
)
from quetzaldeck.bundle.codec import to_plain
from quetzaldeck.bundle.signing import (
    Envelope,
    SignatureError,
    decode_envelope,
    generate_key,
    sign_bundle,
)
from quetzaldeck.bundle.store import BundleStore, OfferResult
from quetzaldeck.config import Finding, FindingsError, load_data, load_text
from quetzaldeck.config.fields import list_fields
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.standin import StandinSettings

if TYPE_CHECKING:
    from collections.abc import Iterator

MAX_FINDING_LENGTH = 2_000
CLASSES: list[Any] = [AgentSettings, Bundle, GatewaySettings, StandinSettings]
SCALARS = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(),
    st.floats(),
    st.text(max_size=20),
    st.sampled_from(["5s", "10 MB", "1e999", "-0", "short_requests", "engine"]),
)
KEYS = st.one_of(
    st.text(max_size=10),
    st.sampled_from(
        sorted({field.name for cls in CLASSES for field in list_fields(cls)})
    ),
)
ANYTHING = st.recursive(
    SCALARS,
    lambda inner: st.one_of(
        st.lists(inner, max_size=4), st.dictionaries(KEYS, inner, max_size=6)
    ),
    max_leaves=30,
)
VALID = Bundle(
    3,
    4_102_444_800_000,
    models=(ModelSpec("m", "1"),),
    customers=(CustomerSpec("c", ("0" * 64,), models=("m",)),),
    upstreams=(UpstreamSpec("e", "http://127.0.0.1:1", models=("m",), kv_tokens=9),),
)
ALIASES_OF_ALIASES = "a0: &a0 [1]\n" + "".join(
    f"a{i}: &a{i} [{', '.join([f'*a{i - 1}'] * 9)}]\n" for i in range(1, 12)
)
PRIVATE_KEY, PUBLIC_KEY = generate_key()


@contextmanager
def allow_findings() -> Iterator[None]:
    found: tuple[Finding, ...] = ()
    try:
        yield
    except FindingsError as error:
        found = error.findings
    assert all(len(item.render()) < MAX_FINDING_LENGTH for item in found)


@pytest.mark.parametrize("cls", CLASSES)
@given(data=ANYTHING)
def test_load_data_gives_settings_or_findings(cls: Any, data: Any) -> None:
    with allow_findings():
        assert isinstance(load_data(data, cls, "fuzz"), cls)


@given(text=st.text(max_size=300))
def test_load_text_gives_settings_or_findings(text: str) -> None:
    with allow_findings():
        load_text(text, GatewaySettings, "fuzz")


@pytest.mark.parametrize(
    "text",
    [
        "[" * 5_000,
        "{a: " * 5_000,
        "a: &x [1, 2]\nb: *x",
        "a: &a [*a]",
        ALIASES_OF_ALIASES,
        "!!python/object/apply:os.system ['true']",
        "a: 2026-99-99",
        "a: !!binary x",
        "vm: " + "9" * 5_000,
    ],
)
def test_load_text_refuses_pathological_yaml(text: str) -> None:
    with pytest.raises(FindingsError):
        load_text(text, GatewaySettings, "fuzz")


@given(data=st.binary(max_size=300))
def test_decode_bundle_gives_findings(data: bytes) -> None:
    with pytest.raises(FindingsError):
        decode_bundle(data)


@given(data=st.data())
def test_decode_bundle_accepts_or_refuses_one_changed_value(
    data: st.DataObject,
) -> None:
    plain = to_plain(VALID)
    part = data.draw(st.sampled_from(sorted(plain)))
    if isinstance(plain[part], list) and data.draw(st.booleans()):
        key = data.draw(st.sampled_from(sorted(plain[part][0])))
        plain[part][0][key] = data.draw(ANYTHING)
    else:
        plain[part] = data.draw(ANYTHING)
    try:
        payload = msgspec.json.encode(plain)
    except (msgspec.MsgspecError, UnicodeEncodeError, OverflowError):
        return
    with allow_findings():
        bundle = decode_bundle(payload)
        assert decode_bundle(encode_bundle(bundle)) == bundle


@pytest.mark.parametrize("payload", [b"[" * 100_000, b'{"a":' * 50_000, b"\xff"])
def test_decode_bundle_refuses_pathological_json(payload: bytes) -> None:
    with pytest.raises(FindingsError):
        decode_bundle(payload)


@given(data=st.binary(max_size=300))
def test_decode_envelope_gives_a_signature_error(data: bytes) -> None:
    with pytest.raises(SignatureError):
        decode_envelope(data)


@given(
    key_id=st.sampled_from(["ops", "other", ""]),
    signature=st.text(max_size=100),
    payload=st.text(max_size=200),
)
def test_offer_refuses_envelopes_without_a_valid_signature(
    key_id: str, signature: str, payload: str
) -> None:
    store = BundleStore({"ops": PUBLIC_KEY})
    store.offer(sign_bundle(VALID, "ops", PRIVATE_KEY))
    assert (
        store.offer(Envelope(key_id, signature, payload)) is OfferResult.BAD_SIGNATURE
    )
    assert store.bundle == VALID
