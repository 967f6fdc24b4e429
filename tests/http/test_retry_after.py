"""Tests of the ``Retry-After`` header."""

from __future__ import annotations

import pytest

from quetzaldeck.http.retry_after import MAX_RETRY_AFTER_MS, read_retry_after_ms

SENT = "Fri, 04 Dec 2026 20:00:00 GMT"


@pytest.mark.parametrize(
    ("text", "expected_ms"),
    [
        ("3", 3_000.0),
        (" 0.25 ", 250.0),
        (".5", 500.0),
        ("0", 0.0),
        ("1e12", MAX_RETRY_AFTER_MS),
        ("1e999", MAX_RETRY_AFTER_MS),
        ("Fri, 04 Dec 2026 20:00:05 GMT", 5_000.0),
        ("Fri, 04 Dec 2026 19:00:00 GMT", 0.0),
        ("Wed, 04 Dec 9999 20:00:00 GMT", MAX_RETRY_AFTER_MS),
        *((text, None) for text in ("-1", "nan", "inf", "1_0", "3 s", "\u0663", "")),
    ],
)
def test_seconds_and_dates_are_read(text: str, expected_ms: float | None) -> None:
    assert read_retry_after_ms({"Retry-After": text, "Date": SENT}) == expected_ms


def test_date_without_a_date_of_the_response_is_ignored() -> None:
    """Guards against a rest that depends on the clocks of two hosts."""
    assert read_retry_after_ms({"Retry-After": SENT}) is None
