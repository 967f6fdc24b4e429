"""Tests of the settings loader and its findings."""

from __future__ import annotations

import pytest

from quetzaldeck.config import FindingsError, load_text
from quetzaldeck.gateway.settings import GatewaySettings

FIVE_FAULTS = """\
vm: entry-a
availability_zone: 7
listen: {host: 127.0.0.1, port: 70000}
agent_address: http://127.0.0.1:1
exchange_interval_ms: 5s
agent_adress: http://127.0.0.1:2
agent_address: http://127.0.0.1:3
"""


def test_load_text_reports_all_findings_together() -> None:
    with pytest.raises(FindingsError) as caught:
        load_text(FIVE_FAULTS, GatewaySettings, "gateway.yaml")
    lines = sorted(finding.render() for finding in caught.value.findings)
    assert lines == [
        "gateway.yaml:2: availability_zone: must be text, not 7; put it in quotes",
        "gateway.yaml:3: listen.port: must be at most 65535, not 70000",
        "gateway.yaml:5: exchange_interval_ms: must be a whole number of ms, "
        "not '5s'; write 5000",
        "gateway.yaml:6: agent_adress: unknown key; did you mean 'agent_address'?",
        "gateway.yaml:7: agent_address: is given twice, first on line 4",
    ]


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("", "is empty"),
        ("vm: [", "is not YAML"),
        ("- vm", "must be a mapping, not a list"),
        ("vm: entry-a", "agent_address: is missing"),
        ("? [a]\n: 1", "a key must be plain text"),
    ],
)
def test_load_text_describes_the_fault(text: str, message: str) -> None:
    with pytest.raises(FindingsError) as caught:
        load_text(text, GatewaySettings, "gateway.yaml")
    rendered = "\n".join(finding.render() for finding in caught.value.findings)
    assert message in rendered
