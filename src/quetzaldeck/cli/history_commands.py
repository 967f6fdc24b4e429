"""Commands ``quetzaldeck history ...``."""

from __future__ import annotations

import sys
from pathlib import Path

import click

from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.running import print_findings
from quetzaldeck.config import FindingsError
from quetzaldeck.history import check_history, history_checks, read_history


@click.group("history")
def history_group() -> None:
    """Check recorded histories against the invariants of the system."""


@history_group.command("check")
@click.argument("path", type=click.Path(path_type=Path))
def check_command(*, path: Path) -> None:
    """Print every violation of an invariant in a history file.

    Exits with 1 if there are violations.

    Example: quetzaldeck history check history.jsonl
    """
    try:
        events = read_history(path)
    except FindingsError as error:
        print_findings(error)
        sys.exit(ExitCode.BAD_SETTINGS)
    violations = check_history(events)
    for violation in violations:
        click.echo(f"{path.name} {violation.render()}")
    click.echo(
        f"{len(events)} events, {len(history_checks.names)} checks, "
        f"{len(violations)} violations"
    )
    sys.exit(ExitCode.FAILED if violations else ExitCode.OK)


__all__ = ("history_group",)
