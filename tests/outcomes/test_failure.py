"""Tests of the error body and headers that callers receive for a failure."""

from __future__ import annotations

import pytest

from quetzaldeck.gateway.responses import error_response
from quetzaldeck.outcomes import Failure, Reason, build_error_body


@pytest.mark.parametrize(
    ("failure", "expected_ms"),
    [
        (Failure(Reason.DEADLINE_EXCEEDED), 1_000),
        (Failure(Reason.UPSTREAM_FAILED, retry_after_ms=2_500.4), 2_500),
        (Failure(Reason.MALFORMED_REQUEST), None),
        (Failure(Reason.KEY_CONFLICT), None),
    ],
)
def test_failure_sets_the_time_of_a_retry(
    failure: Failure, expected_ms: int | None
) -> None:
    """Guards against a failure without a retry time where a retry makes sense.

    Callers whose deadlines passed would all retry at once while the system is full.
    """
    assert build_error_body(failure, "r")["error"]["retry_after_ms"] == expected_ms
    header = error_response(failure, "r").headers.get("Retry-After")
    assert header == (None if expected_ms is None else str(-(-expected_ms // 1_000)))
