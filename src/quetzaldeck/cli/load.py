"""Command line of ``quetzaldeck-load``."""

from __future__ import annotations

import sys
from pathlib import Path

import click
import uvloop

from quetzaldeck.cli.common import EPILOG, version_option
from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.cli.running import load_settings
from quetzaldeck.clock import Clock
from quetzaldeck.load import (
    LoadReport,
    LoadSettings,
    build_report,
    read_executions,
    render_report,
    run_load,
)


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-load")
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    required=True,
    help="YAML file that describes the calls to send.",
)
def main(*, settings_path: Path) -> None:
    """Send the configured calls and print time to first token by prompt length.

    Exits with 1 if no call was answered, or if a call was lost, mixed up with another
    one, executed twice or falsely reported as not executed.

    Example: quetzaldeck-load --settings examples/demo/load.yaml
    """
    report = uvloop.run(_run(load_settings(settings_path, LoadSettings)))
    click.echo(render_report(report))
    sys.exit(ExitCode.OK if report.is_clean else ExitCode.FAILED)


async def _run(settings: LoadSettings) -> LoadReport:
    results = await run_load(settings, Clock())
    return build_report(results, await read_executions(settings.services))


if __name__ == "__main__":
    main()

__all__ = ("main",)
