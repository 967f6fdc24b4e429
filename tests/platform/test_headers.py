"""Translation of the platform's headers in both directions."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.entry.call_head import PromptSize
from quetzaldeck.entry.forwarding_parameters import ForwardingParameters, Helper
from quetzaldeck.entry.response_head import ReplicaLoad
from quetzaldeck.platform import (
    build_request_headers,
    build_response_headers,
    read_call_head,
    read_response_head,
)

PARAMETERS = ForwardingParameters("r1", "gym", 1_234.5)
TEXT = st.text(st.characters(min_codepoint=32, max_codepoint=126), max_size=30)


def test_prompt_is_read_from_counts_and_hint() -> None:
    head = read_call_head(
        {"Quetzaldeck-Token-Counts": "1460,80", "Quetzaldeck-Length-Hint": "33"}
    )
    assert head.prompt == PromptSize(1_460, 80, 33)


@pytest.mark.parametrize(
    ("text", "parts"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        ("5C1E07A2:800, 5c1e07a2:1,e4402b7d:250", ("5c1e07a2",)),
        ("e4402b7d:250", ()),
        ("", ()),
        (",:3,,x", ()),
    ],
)
def test_parts_that_prompts_share_are_all_but_the_last(
    text: str, parts: tuple[str, ...]
) -> None:
    assert read_call_head({"Quetzaldeck-Prefix-Hash": text}).shared_parts == parts


@pytest.mark.parametrize(
    ("name", "text"),
    [
        ("Quetzaldeck-Token-Counts", "12"),
        ("Quetzaldeck-Token-Counts", "a,b"),
        ("Quetzaldeck-Deadline-Ms", "soon"),
        ("Quetzaldeck-Deadline-Ms", "1e3"),
    ],
)
def test_error_for_an_invalid_number_names_its_header(name: str, text: str) -> None:
    with pytest.raises(ValueError, match=name):
        read_call_head({name: text})


@given(
    st.dictionaries(st.sampled_from(["Quetzaldeck-Instance-Load", "Keep-Alive"]), TEXT)
)
def test_response_head_with_any_header_text_is_read(headers: dict[str, str]) -> None:
    assert read_response_head(200, headers).status == 200


def test_load_is_read() -> None:
    head = read_response_head(200, {"Quetzaldeck-Instance-Load": "3,1,8"})
    assert head.load == ReplicaLoad(3, 1, 8)


@pytest.mark.parametrize(
    ("text", "rate"),
    [
        ("1.1", 1.1),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("1e99", None),
        ("x", None),
    ],
)
def test_only_a_valid_rate_limit_is_read(text: str, rate: float | None) -> None:
    assert read_response_head(200, {"Server-Limit": text}).rate_limit == rate


def test_status_of_a_wrong_replica_means_that_nothing_ran() -> None:
    assert read_response_head(421, {}).has_not_run
    assert not read_response_head(503, {}).has_not_run
    assert read_response_head(503, {"Quetzaldeck-Not-Executed": "1"}).has_not_run


def test_headers_reserved_for_the_vm_are_replaced() -> None:
    forged = {
        "quetzaldeck-tenant": "other",
        "quetzaldeck-expect-instance": "other",
        "quetzaldeck-helpers": "10.0.0.1:1",
        "quetzaldeck-request-priority": "0",
        "quetzaldeck-key": "secret",
    }
    sent = build_request_headers(forged, PARAMETERS)
    assert dict(sent) == {
        "Quetzaldeck-Deadline-Ms": "1234",
        "Quetzaldeck-Expect-Instance": "r1",
        "Quetzaldeck-Tenant": "gym",
    }


def test_helpers_and_last_event_id_are_written() -> None:
    parameters = PARAMETERS._replace(
        helpers=(Helper("10.0.0.1:1", "t1"), Helper("10.0.0.2:1")), last_event_id="7"
    )
    sent = build_request_headers({"Last-Event-Id": "3"}, parameters)
    assert sent["Quetzaldeck-Helpers"] == "10.0.0.1:1/t1,10.0.0.2:1"
    assert sent.getall("Last-Event-Id") == ["7"]


def test_hop_by_hop_headers_are_not_copied() -> None:
    headers = {"Connection": "close, X-A", "X-A": "1", "Keep-Alive": "t", "X-B": "2"}
    assert dict(build_response_headers(headers)) == {"X-B": "2"}
