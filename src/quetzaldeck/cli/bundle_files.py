"""Loading of bundle files, in YAML or signed."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NamedTuple

import click

from quetzaldeck.bundle import Bundle, check_bundle, decode_bundle
from quetzaldeck.bundle.signing import SignatureError, decode_envelope
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.running import load_settings, print_findings
from quetzaldeck.config import FindingsError, raise_findings

if TYPE_CHECKING:
    from pathlib import Path

SIGNED_START = b"["
"""A signed bundle is a JSON array; a bundle in YAML is a mapping."""


class BundleFile(NamedTuple):
    """A bundle and the ID of the key that signed its file.

    :param key_id: as stated in the file, not verified; empty for YAML
    """

    bundle: Bundle
    key_id: str


def load_bundle(path: Path) -> Bundle:
    """:returns: the bundle in a YAML file; exits the program if it has faults"""
    bundle = load_settings(path, Bundle)
    try:
        raise_findings(path.name, check_bundle(bundle, path.name))
    except FindingsError as error:
        print_findings(error)
        sys.exit(ExitCode.BAD_SETTINGS)
    return bundle


def load_any_bundle(path: Path) -> BundleFile:
    """Load a bundle from a YAML file or a signed file, without verifying a signature.

    :returns: the bundle; exits the program if it has faults
    """
    try:
        data = path.read_bytes()
    except OSError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.FAILED)
    if not data.startswith(SIGNED_START):
        return BundleFile(load_bundle(path), "")
    try:
        envelope = decode_envelope(data)
        bundle = decode_bundle(envelope.payload.encode(), path.name)
    except SignatureError as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.BAD_SIGNATURE)
    except FindingsError as error:
        print_findings(error)
        sys.exit(ExitCode.BAD_SETTINGS)
    return BundleFile(bundle, envelope.key_id)


__all__ = ("BundleFile", "load_any_bundle", "load_bundle")
