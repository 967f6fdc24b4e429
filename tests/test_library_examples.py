"""Doctests of the packages that other projects embed as libraries."""

from __future__ import annotations

import doctest
import importlib

import pytest

PACKAGES = ("commands", "dissemination", "membership", "peers", "reclaim")


@pytest.mark.parametrize("package", PACKAGES)
def test_package_example_prints_documented_output(package: str) -> None:
    results = doctest.testmod(importlib.import_module(f"quetzaldeck.{package}"))
    assert results.attempted > 0
    assert results.failed == 0
