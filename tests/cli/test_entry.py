"""Tests of the modules that ``quetzaldeck-entry`` imports."""

from __future__ import annotations

import subprocess
import sys

import pytest

PRINT_MODULES = """
import sys
import quetzaldeck.cli.entry_program
print(*sys.modules)
"""


@pytest.fixture(scope="module")
def loaded() -> frozenset[str]:
    """:returns: names of all modules that a new process has loaded after the import"""
    done = subprocess.run(
        [sys.executable, "-OO", "-c", PRINT_MODULES],
        capture_output=True,
        check=True,
        text=True,
    )
    return frozenset(done.stdout.split())


@pytest.mark.parametrize(
    "module",
    [
        "aiomisc",
        "click",
        "cryptography",
        "difflib",
        "quetzaldeck.agent",
        "quetzaldeck.bench",
        "quetzaldeck.bundle.signing",
        "quetzaldeck.claims",
    ],
)
def test_entry_does_not_load_what_only_other_programs_use(
    loaded: frozenset[str], module: str
) -> None:
    """Guards against entry VMs that keep unused libraries in memory."""
    assert "quetzaldeck.cli.entry_program" in loaded
    assert module not in loaded


PRINT_CERTIFICATES = """
import os
from quetzaldeck.cli.certificates import no_default_certificates
before = dict(os.environ)
with no_default_certificates():
    import quetzaldeck.cli.entry_program
assert dict(os.environ) == before
from aiohttp import connector
print(connector._SSL_CONTEXT_VERIFIED.cert_store_stats()["x509_ca"])
"""


def test_entry_does_not_read_ca_certificates_at_its_start() -> None:
    """Guards against starts that parse certificates that no connection uses."""
    done = subprocess.run(
        [sys.executable, "-c", PRINT_CERTIFICATES],
        capture_output=True,
        check=True,
        text=True,
    )
    assert done.stdout.strip() == "0"
