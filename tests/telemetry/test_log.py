"""Tests of log lines: each event is one parseable line, whatever its values."""

from __future__ import annotations

import io
import logging

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from quetzaldeck.telemetry import configure_logging, log_event
from quetzaldeck.telemetry.log import MAX_VALUE_LENGTH, format_value


@pytest.mark.parametrize(
    ("value", "text"),
    [
        ("plain", "plain"),
        ("", '""'),
        ("two words", '"two words"'),
        ('quote"', '"quote\\""'),
        ("a=b", '"a=b"'),
        ("line\nevent=forged", '"line\\nevent=forged"'),
        ("\x1b[31m", '"\\x1b[31m"'),
        ("\u2028", '"\\u2028"'),
        ("\ud800", '"\\ud800"'),
        (1.23456, "1.235"),
    ],
)
def test_format_value_is_unambiguous(value: object, text: str) -> None:
    assert format_value(value) == text


@settings(derandomize=True, deadline=None)
@given(st.text())
def test_format_value_stays_on_one_line(text: str) -> None:
    formatted = format_value(text)
    assert len(formatted.splitlines()) == 1
    assert formatted.isprintable()


def test_format_value_truncates_long_values() -> None:
    assert len(format_value("x" * 1_000_000)) <= MAX_VALUE_LENGTH + 3


def test_log_event_cannot_be_forged_by_a_value() -> None:
    """Guards against a log that shows a shutdown that did not happen.

    A caller sends a model name that contains a forged log line.
    """
    stream = io.StringIO()
    configure_logging(stream)
    log_event("refused", model="x\ntime=now level=INFO event=stopped {x} <red>")
    lines = stream.getvalue().splitlines()
    assert len(lines) == 1
    assert 'event=refused model="x\\ntime=now' in lines[0]


def test_library_logs_do_not_quote_callers() -> None:
    """Guards against API keys in the log.

    A caller sends a malformed header that contains its API key, and the HTTP library
    logs the bytes that it could not parse.
    """
    stream = io.StringIO()
    configure_logging(stream)
    logging.getLogger("aiohttp.server").error("bad header: Bearer secret-key\nmore")
    text = stream.getvalue()
    assert "event=library_log logger=aiohttp.server" in text
    assert "secret-key" not in text
    assert len(text.splitlines()) == 1
