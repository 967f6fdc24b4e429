"""Command line of ``quetzaldeck``, the commands for operators."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import uvloop

from quetzaldeck.cli.bundle_commands import bundle_group
from quetzaldeck.cli.common import EPILOG, version_option
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.explain_command import explain_command
from quetzaldeck.cli.history_commands import history_group
from quetzaldeck.cli.log_commands import logs_group
from quetzaldeck.cli.running import print_findings
from quetzaldeck.cli.settings_commands import settings_group
from quetzaldeck.cli.status_command import status_command
from quetzaldeck.config import FindingsError
from quetzaldeck.demo import load_demo_settings, run_demo
from quetzaldeck.load import render_report
from quetzaldeck.outcomes.reference import render_reasons
from quetzaldeck.telemetry import configure_logging


@click.group(epilog=EPILOG)
@version_option("quetzaldeck")
def main() -> None:
    """Check settings and bundles, read status and logs, run the demo."""


@main.command("demo", epilog=EPILOG)
@click.option(
    "--directory",
    type=click.Path(path_type=Path),
    required=True,
    help="Directory with the settings files of the demo.",
)
@click.option(
    "--log-level",
    default="WARNING",
    help="Lowest level of log lines to write; WARNING by default.",
)
def run_demo_command(*, directory: Path, log_level: str) -> None:
    """Run all programs in one process and print TTFT by prompt length.

    Exits with 1 if no call was answered, or if a call was lost, mixed up with another
    one, executed twice or falsely reported as not executed.

    Example: quetzaldeck demo --directory examples/demo
    """
    configure_logging(level=log_level)
    try:
        settings = load_demo_settings(directory)
    except FindingsError as error:
        print_findings(error)
        sys.exit(ExitCode.BAD_SETTINGS)
    report = uvloop.run(run_demo(settings))
    click.echo(render_report(report))
    sys.exit(ExitCode.OK if report.is_clean else ExitCode.FAILED)


@main.command("reasons", epilog=EPILOG)
def reasons_command() -> None:
    """Print all reasons for refusals and failures as Markdown.

    Example: quetzaldeck reasons > docs/reasons.md
    """
    click.echo(render_reasons(), nl=False)


main.add_command(bundle_group)
main.add_command(settings_group)
main.add_command(status_command)
main.add_command(explain_command)
main.add_command(history_group)
main.add_command(logs_group)

if __name__ == "__main__":
    main()

__all__ = ("main",)
