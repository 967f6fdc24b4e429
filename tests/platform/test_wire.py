"""Decoding of what the platform publishes, valid and invalid."""

from __future__ import annotations

import copy
from contextlib import suppress
from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from tests.support.platform.site import build_configuration, build_entry

from quetzaldeck.belief import ReplicaRead, UndecodableEntry
from quetzaldeck.platform.store import _Item, _translate
from quetzaldeck.platform.wire_configuration import decode_configuration
from quetzaldeck.platform.wire_replica import decode_replica
from quetzaldeck.routing import Replica, RequestKind, WeightedService

JSON = st.recursive(
    st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=5), inner, max_size=3)
    ),
    max_leaves=8,
)


def test_configuration_is_translated() -> None:
    value = build_configuration(7)
    value["routes"][0]["split"] = [{"service": "plans", "weight": 90}]
    del value["routes"][0]["service"]
    value["future"] = {"unknown": 1}
    configuration = decode_configuration(msgspec.json.encode(value))
    route = configuration.routes[0]
    assert configuration.version == 7
    assert route.kind is RequestKind.STREAMING
    assert route.targets == (WeightedService("plans", 90.0),)
    assert route.is_resumable
    assert route.is_repeatable
    assert not configuration.routes[1].is_repeatable
    assert configuration.keys is not None
    assert configuration.keys["key-of-gym"].customer == "gym"
    engine = configuration.services["plans"].engine
    assert engine is not None
    assert engine.tokens_per_ms == 206.0
    assert round(engine.prefill_ms(133_000)) == 1_866


def test_configuration_without_customers_needs_no_keys() -> None:
    value = build_configuration()
    del value["tenants"]
    assert decode_configuration(msgspec.json.encode(value)).keys is None


@pytest.mark.parametrize(
    ("path", "invalid", "location"),
    [
        (("version",), "seven", r"\$\.version"),
        (("routes", 1, "type"), "twice", r"\$\.routes\[1\]\.type"),
        (("services", 0, "engine", "slots"), None, r"engine\.slots"),
    ],
)
def test_error_names_the_faulty_field(
    path: tuple[Any, ...], invalid: Any, location: str
) -> None:
    value = copy.deepcopy(build_configuration())
    inner: Any = value
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = invalid
    with pytest.raises(msgspec.DecodeError, match=location):
        decode_configuration(msgspec.json.encode(value))


@given(JSON)
def test_any_json_is_decoded_or_rejected(value: Any) -> None:
    data = msgspec.json.encode(value)
    with suppress(msgspec.DecodeError):
        decode_configuration(data)
    with suppress(msgspec.DecodeError):
        decode_replica("r", data)


ENTRY = build_entry("plans", "10.0.0.1:80")


def test_replica_is_translated() -> None:
    entry = {**ENTRY, "state": "draining", "coldRemainingMs": 30.0, "born": 1_700}
    replica = decode_replica("r1", msgspec.json.encode(entry))
    assert replica == Replica(
        "r1",
        "plans",
        "10.0.0.1:80",
        "a",
        is_leaving=True,
        n_slots=8,
        cold_ms=30.0,
        started_ms=1_700,
    )


def test_replica_without_start_time_is_translated() -> None:
    replica = decode_replica("r1", msgspec.json.encode(ENTRY))
    assert not replica.started_ms
    assert not replica.incarnation


@pytest.mark.parametrize("field", sorted(ENTRY))
def test_entry_with_a_missing_field_is_rejected(field: str) -> None:
    entry = {name: value for name, value in ENTRY.items() if name != field}
    with pytest.raises(msgspec.ValidationError, match=field):
        decode_replica("r1", msgspec.json.encode(entry))


@pytest.mark.parametrize(
    "invalid",
    [
        {"service": 7},
        {"service": ""},
        {"address": "10.0.0.1"},
        {"address": "10.0.0.1:0"},
        {"address": "10.0.0.1:65536"},
        {"address": "10.0.0.1:\u0663"},
        {"address": "host:80"},
        {"address": "10.0.0.1:80/x"},
        {"zone": None},
        {"slots": 0},
        {"slots": "8"},
        {"state": "asleep"},
        {"coldRemainingMs": -1},
        {"sequence": 1.5},
        {"born": 1.5},
        {"born": "1700"},
        {"born": None},
        {"born": True},
        {"born": -1},
    ],
)
def test_entry_with_an_invalid_field_is_rejected(invalid: dict[str, Any]) -> None:
    (field,) = invalid
    data = msgspec.json.encode({**ENTRY, **invalid})
    with pytest.raises(msgspec.ValidationError, match=rf"\$\.{field}"):
        decode_replica("r1", data)


@pytest.mark.parametrize("replica_id", ["", "a b", "a\r\nX: 1", "\u00e9", "a" * 201])
def test_replica_id_that_no_header_can_carry_is_rejected(replica_id: str) -> None:
    with pytest.raises(msgspec.ValidationError, match="is not a valid replica id"):
        decode_replica(replica_id, msgspec.json.encode(ENTRY))


@given(st.binary(max_size=40) | st.just(b"[" * 100_000))
def test_undecodable_entry_does_not_affect_other_entries(value: bytes) -> None:
    """Guards against losing all replicas because of one undecodable entry.

    If the whole list is dropped for one entry, all callers are rejected although all
    replicas are healthy.
    """
    valid = _Item("servers/r1", value=msgspec.json.encode(ENTRY))
    undecodable = _Item("servers/r2", value=value)
    changes = _translate((undecodable, valid))
    assert len(changes) == 2
    assert isinstance(changes[0], UndecodableEntry)
    assert changes[0].replica_id == "r2"
    assert changes[1] == ReplicaRead(decode_replica("r1", valid.value))
