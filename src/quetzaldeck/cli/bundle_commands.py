"""Commands ``quetzaldeck bundle ...``."""

from __future__ import annotations

import os
import sys
from pathlib import Path

import click

from quetzaldeck.bundle import encode_bundle
from quetzaldeck.bundle.diff import diff_bundles
from quetzaldeck.bundle.signing import (
    SignatureError,
    decode_envelope,
    encode_envelope,
    generate_key,
    sign_bundle,
    verify_envelope,
)
from quetzaldeck.bundle.summary import render_summary
from quetzaldeck.cli.bundle_files import load_any_bundle, load_bundle
from quetzaldeck.cli.common import EPILOG
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.running import print_findings
from quetzaldeck.config import FindingsError

KEY_FILE_MODE = 0o600
PATH = click.Path(path_type=Path)


@click.group("bundle", epilog=EPILOG)
def bundle_group() -> None:
    """Check, compare, sign and verify bundles."""


@bundle_group.command("check", epilog=EPILOG)
@click.argument("path", type=PATH)
def check_command(*, path: Path) -> None:
    """Check a bundle in YAML and print its size or its faults.

    Example: quetzaldeck bundle check bundle.yaml
    """
    bundle = load_bundle(path)
    n_bytes = len(encode_bundle(bundle))
    click.echo(f"version {bundle.version}: no findings, {n_bytes} bytes")


@bundle_group.command("show", epilog=EPILOG)
@click.argument("path", type=PATH)
def show_command(*, path: Path) -> None:
    """Print a summary of a bundle, in YAML or signed.

    Example: quetzaldeck bundle show bundle.signed
    """
    bundle, key_id = load_any_bundle(path)
    click.echo(render_summary(bundle))
    if key_id:
        click.echo(f"signed by      {key_id}; not verified, see 'bundle verify'")


@bundle_group.command("diff", epilog=EPILOG)
@click.argument("old", type=PATH)
@click.argument("new", type=PATH)
def diff_command(*, old: Path, new: Path) -> None:
    """Print the changes between two bundles, in YAML or signed.

    Exits with 1 if NEW would not take effect after OLD: its version must be higher.

    Example: quetzaldeck bundle diff bundle-41.signed bundle-42.yaml
    """
    old_bundle = load_any_bundle(old).bundle
    new_bundle = load_any_bundle(new).bundle
    changes = diff_bundles(old_bundle, new_bundle)
    for change in changes:
        click.echo(change.render())
    click.echo(f"{len(changes)} changes")
    if changes and new_bundle.version <= old_bundle.version:
        click.echo(
            f"version {new_bundle.version} does not take effect after "
            f"{old_bundle.version}; raise the version",
            err=True,
        )
        sys.exit(ExitCode.FAILED)


@bundle_group.command("keygen", epilog=EPILOG)
@click.option(
    "--private-key", "path", type=PATH, required=True, help="Key file to create."
)
def keygen_command(*, path: Path) -> None:
    """Create a private key file and print the public key for the agents.

    Only the owner may read the file. An existing file is not overwritten.

    Example: quetzaldeck bundle keygen --private-key operator.key
    """
    private_key, public_key = generate_key()
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    try:
        with os.fdopen(os.open(path, flags, KEY_FILE_MODE), "w") as file:
            file.write(private_key + "\n")
    except FileExistsError:
        click.echo(f"{path} exists; choose another name", err=True)
        sys.exit(ExitCode.FAILED)
    click.echo(public_key)


@bundle_group.command("sign", epilog=EPILOG)
@click.option(
    "--private-key", "key_path", type=PATH, required=True, help="Key file from keygen."
)
@click.option(
    "--key-id", required=True, help="Name of the key in the settings of the agents."
)
@click.option(
    "--output", type=PATH, required=True, help="File to write the signed bundle to."
)
@click.argument("path", type=PATH)
def sign_command(*, key_path: Path, key_id: str, output: Path, path: Path) -> None:
    """Check and sign a bundle in YAML.

    Example: quetzaldeck bundle sign --private-key operator.key --key-id ops --output
    bundle.signed bundle.yaml
    """
    bundle = load_bundle(path)
    try:
        envelope = sign_bundle(bundle, key_id, key_path.read_text().strip())
        data = encode_envelope(envelope)
    except (OSError, SignatureError) as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.BAD_SIGNATURE)
    output.write_bytes(data)
    click.echo(f"signed version {bundle.version} with key {key_id}")


@bundle_group.command("verify", epilog=EPILOG)
@click.option(
    "--public-key", required=True, help="Public key in base64, as printed by keygen."
)
@click.argument("path", type=PATH)
def verify_command(*, public_key: str, path: Path) -> None:
    """Verify the signature of a bundle, and check the bundle.

    Example: quetzaldeck bundle verify --public-key KEY bundle.signed
    """
    try:
        envelope = decode_envelope(path.read_bytes())
        bundle = verify_envelope(envelope, {envelope.key_id: public_key})
    except (OSError, SignatureError) as error:
        click.echo(str(error), err=True)
        sys.exit(ExitCode.BAD_SIGNATURE)
    except FindingsError as error:
        print_findings(error)
        sys.exit(ExitCode.BAD_SETTINGS)
    click.echo(f"version {bundle.version}: signature of {envelope.key_id} is valid")


__all__ = ("bundle_group",)
