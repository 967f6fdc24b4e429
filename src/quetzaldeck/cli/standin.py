"""Command line of ``quetzaldeck-standin``."""

from __future__ import annotations

from pathlib import Path

import click

from quetzaldeck.cli.common import EPILOG, version_option
from quetzaldeck.cli.running import load_settings, run_services
from quetzaldeck.standin import StandinSettings, build_standins


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-standin")
@click.option(
    "--settings",
    "settings_path",
    type=click.Path(path_type=Path),
    required=True,
    help="YAML file that lists the stand-ins.",
)
def main(*, settings_path: Path) -> None:
    """Run stand-ins for the platform, engines and plain services, for demos and tests.

    Example: quetzaldeck-standin --settings examples/demo/standins.yaml
    """
    run_services(*build_standins(load_settings(settings_path, StandinSettings)))


if __name__ == "__main__":
    main()

__all__ = ("main",)
