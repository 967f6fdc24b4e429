"""Command line of ``quetzaldeck-agent``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from quetzaldeck.agent import AgentService, AgentSettings
from quetzaldeck.cli.common import EPILOG, settings_option, version_option
from quetzaldeck.cli.running import load_settings, run_services

if TYPE_CHECKING:
    from pathlib import Path


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-agent")
@settings_option()
def main(*, settings_path: Path) -> None:
    """Run the agent, the control plane of one VM, until SIGTERM or SIGINT.

    Example: quetzaldeck-agent --settings examples/demo/agent-a.yaml
    """
    run_services(AgentService(load_settings(settings_path, AgentSettings)))


if __name__ == "__main__":
    main()

__all__ = ("main",)
