"""Command line of ``quetzaldeck-entry``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from quetzaldeck.cli.common import EPILOG, settings_option, version_option
from quetzaldeck.cli.entry_program import run_entry

if TYPE_CHECKING:
    from pathlib import Path


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-entry")
@settings_option(envvar="QUETZALDECK_SETTINGS")
def main(*, settings_path: Path) -> None:
    """Run an entry VM on the users' platform, until SIGTERM or SIGINT.

    Example: quetzaldeck-entry --settings /etc/quetzaldeck/local.conf
    """
    run_entry(settings_path)


if __name__ == "__main__":
    main()

__all__ = ("main",)
