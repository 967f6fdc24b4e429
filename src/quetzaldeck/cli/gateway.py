"""Command line of ``quetzaldeck-gateway``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import click

from quetzaldeck.cli.common import EPILOG, settings_option, version_option
from quetzaldeck.cli.running import load_settings, run_services
from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings

if TYPE_CHECKING:
    from pathlib import Path


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-gateway")
@settings_option()
def main(*, settings_path: Path) -> None:
    """Run the gateway, the data plane of one VM, until SIGTERM or SIGINT.

    Example: quetzaldeck-gateway --settings examples/demo/gateway-a.yaml
    """
    run_services(GatewayService(load_settings(settings_path, GatewaySettings)))


if __name__ == "__main__":
    main()

__all__ = ("main",)
