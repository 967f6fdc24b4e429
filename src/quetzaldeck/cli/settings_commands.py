"""Commands ``quetzaldeck settings ...``."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import click

from quetzaldeck.agent import AgentSettings
from quetzaldeck.bundle import Bundle
from quetzaldeck.cli.common import EPILOG
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.config import Finding, check_file
from quetzaldeck.config.document import read_document
from quetzaldeck.config.fields import list_fields
from quetzaldeck.config.reference import render_reference
from quetzaldeck.entry.settings import EntrySettings
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.load import LoadSettings
from quetzaldeck.standin import StandinSettings

SETTINGS_CLASSES: dict[str, Any] = {
    "gateway": GatewaySettings,
    "agent": AgentSettings,
    "entry": EntrySettings,
    "standin": StandinSettings,
    "load": LoadSettings,
    "bundle": Bundle,
}

REFERENCE_HEAD = """\
# Settings

One YAML file for each program, and the bundle. Printed by `quetzaldeck settings
reference` from the declarations in the code. `quetzaldeck settings check FILE`
reports every fault of a file together, each with its line.
"""


@click.group("settings", epilog=EPILOG)
def settings_group() -> None:
    """Check settings files and print their reference."""


@settings_group.command("check", epilog=EPILOG)
@click.option(
    "--program",
    type=click.Choice(sorted(SETTINGS_CLASSES)),
    help="Whose settings the file holds; guessed from its keys if not given.",
)
@click.argument("path", type=click.Path(path_type=Path))
def check_command(*, program: str | None, path: Path) -> None:
    """Print every fault of a settings file.

    Example: quetzaldeck settings check gateway.yaml
    """
    findings: list[Finding] = []
    if program is None:
        program = guess_program(path)
        click.echo(f"{path.name}: checked as settings of: {program}")
    check_file(path, SETTINGS_CLASSES[program], findings)
    for finding in findings:
        click.echo(finding.render())
    click.echo(f"{len(findings)} findings")
    sys.exit(ExitCode.BAD_SETTINGS if findings else ExitCode.OK)


def guess_program(path: Path) -> str:
    """:returns: the program that declares most keys of the file, few others"""
    document = read_document(path, [])
    keys = set(document.data) if document and isinstance(document.data, dict) else set()

    def score(program: str) -> int:
        names = {field.name for field in list_fields(SETTINGS_CLASSES[program])}
        return len(keys & names) - len(keys - names)

    return max(SETTINGS_CLASSES, key=score)


@settings_group.command("reference", epilog=EPILOG)
def reference_command() -> None:
    """Print the reference of all settings as Markdown.

    Example: quetzaldeck settings reference > docs/settings.md
    """
    click.echo(render_settings_page(), nl=False)


def render_settings_page() -> str:
    """:returns: the reference of all programs as one page"""
    parts = [render_reference(name, cls) for name, cls in SETTINGS_CLASSES.items()]
    return "\n".join([REFERENCE_HEAD, *parts])


__all__ = (
    "SETTINGS_CLASSES",
    "guess_program",
    "render_settings_page",
    "settings_group",
)
