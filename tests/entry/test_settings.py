"""Validation of an entry VM's settings and the messages that operators see."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec
import pytest

from quetzaldeck.config import FindingsError, load_text
from quetzaldeck.config.compiled import decode_fast
from quetzaldeck.decisions.admission import BoundsOnly, PredictedWait
from quetzaldeck.decisions.policies import ENTRY_POLICIES, build_scheduler
from quetzaldeck.entry.settings import (
    EntryBounds,
    EntryListen,
    EntryProcessor,
    EntrySettings,
)
from quetzaldeck.registry import UnknownNameError

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

WITHOUT_PORTS = """\
vm: edge-1
availability_zone: a
listen:
  callers: 10.1.0.40:8227
  readiness: 10.1.0.40
store_address: http://10.2.0.1:8223
"""


def test_addresses_without_a_port_are_reported_with_their_line() -> None:
    """Guards against a VM that exits with a traceback on an address without a port.

    The validation of the settings must find the missing port; otherwise the error shows
    only when the socket is opened.
    """
    with pytest.raises(FindingsError) as caught:
        load_text(WITHOUT_PORTS, EntrySettings, "entry.yaml")
    assert [finding.render() for finding in caught.value.findings] == [
        "entry.yaml:5: listen.readiness: must be IP:PORT, not '10.1.0.40'",
        "entry.yaml:6: store_address: must be IP:PORT, not 'http://10.2.0.1:8223'",
    ]


IMPOSSIBLE_ADDRESSES = """\
vm: edge-1
availability_zone: a
listen:
  callers: 10.1.0.40:65536
  readiness: 10.1.0.40:8220
  metrics: nowhere
store_address: 10.2.0.1:8223
seeds:
- 10.1.0.41:8227
- nowhere
"""


def test_each_address_is_checked_before_a_socket_is_opened() -> None:
    """Guards against a VM that exits with a traceback on an invalid port or seed."""
    with pytest.raises(FindingsError) as caught:
        load_text(IMPOSSIBLE_ADDRESSES, EntrySettings, "entry.yaml")
    assert [finding.render() for finding in caught.value.findings] == [
        "entry.yaml:4: listen.callers: must be IP:PORT, not '10.1.0.40:65536'",
        "entry.yaml:6: listen.metrics: must be IP:PORT or empty, not 'nowhere'",
        "entry.yaml:10: seeds[1]: must be IP:PORT, not 'nowhere'",
    ]


@pytest.mark.parametrize(
    "text",
    [
        pytest.param("bounds:\nprocessor:\nseeds: []\n", id="nothing is stated"),
        pytest.param("\ufeff", id="byte order mark"),
    ],
)
def test_empty_sections_take_their_defaults(text: str) -> None:
    """Guards against a VM that refuses to start on empty sections of a template.

    An empty section is read as null, not as a mapping.
    """
    text = text + WITH_PORTS if text.startswith("\ufeff") else WITH_PORTS + text
    settings = load_text(text.replace("\n", "\r\n"), EntrySettings, "entry.yaml")
    assert settings.bounds == EntryBounds()
    assert settings.processor == EntryProcessor()
    assert settings.seeds == ()


def test_empty_section_with_required_keys_is_refused() -> None:
    """Guards against an empty section that hides that required keys are missing."""
    text = WITH_PORTS.replace(
        '{callers: "10.1.0.40:8227", readiness: "10.1.0.40:8220"}', ""
    )
    with pytest.raises(FindingsError) as caught:
        load_text(text, EntrySettings, "entry.yaml")
    assert [finding.render() for finding in caught.value.findings] == [
        "entry.yaml:3: listen.callers: is missing: Address for requests of callers.",
        "entry.yaml:3: listen.readiness: is missing: Address for readiness checks.",
    ]


def test_fast_decoder_refuses_what_the_loader_refuses() -> None:
    invalid = {"callers": "10.1.0.40:8227", "readiness": "10.1.0.40"}
    with pytest.raises(msgspec.ValidationError, match="readiness"):
        decode_fast(msgspec.json.encode(invalid), EntryListen)
    valid = {**invalid, "readiness": "10.1.0.40:8220"}
    decoded = decode_fast(msgspec.json.encode(valid), EntryListen)
    assert decoded == EntryListen("10.1.0.40:8227", "10.1.0.40:8220")


WITH_PORTS = """\
vm: edge-1
availability_zone: a
listen: {callers: "10.1.0.40:8227", readiness: "10.1.0.40:8220"}
store_address: 10.2.0.1:8223
"""


def test_policies_can_be_selected_for_comparison(clock: ManualClock) -> None:
    assert load_text(WITH_PORTS, EntrySettings, "e.yaml").policies == ENTRY_POLICIES
    named = "policies: {queue: fair, placement: first_token, admission: bounds}\n"
    settings = load_text(WITH_PORTS + named, EntrySettings, "e.yaml")
    scheduler = build_scheduler(
        settings.policies, clock=clock, random_state=random.Random(1)
    )
    assert isinstance(scheduler.admission, BoundsOnly)
    assert not isinstance(scheduler.admission, PredictedWait)


def test_unknown_policy_is_reported_with_the_choices(
    clock: ManualClock,
) -> None:
    named = ENTRY_POLICIES._replace(head_of_line="short_lane")
    with pytest.raises(UnknownNameError, match="reading_lane"):
        build_scheduler(named, clock=clock, random_state=random.Random(1))
