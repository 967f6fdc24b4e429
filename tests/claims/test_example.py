"""The example in the package's doc string runs."""

from __future__ import annotations

import doctest

import quetzaldeck.claims


def test_example_runs() -> None:
    result = doctest.testmod(quetzaldeck.claims)
    assert result.attempted > 0
    assert result.failed == 0
