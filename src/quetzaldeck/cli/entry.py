"""Command line of ``quetzaldeck-entry``."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING

import click

from quetzaldeck.cli.common import (
    EPILOG,
    load_settings,
    run_services,
    settings_option,
    version_option,
)
from quetzaldeck.entry.peers import BeliefService
from quetzaldeck.entry.service import EntryService, MetricsService, ReadinessService
from quetzaldeck.entry.settings import EntrySettings
from quetzaldeck.entry.settings_watch import SettingsWatch
from quetzaldeck.http import HttpServiceBase, ListenAddress, parse_listen_address

if TYPE_CHECKING:
    from pathlib import Path


@click.command(epilog=EPILOG)
@version_option("quetzaldeck-entry")
@settings_option(envvar="QUETZALDECK_SETTINGS")
def main(*, settings_path: Path) -> None:
    """Run an entry VM on the users' platform, until SIGTERM or SIGINT.

    Example: quetzaldeck-entry --settings /etc/quetzaldeck/local.conf
    """
    settings = load_settings(settings_path, EntrySettings)
    entry = EntryService(settings)
    watch = SettingsWatch(settings_path, EntrySettings, settings, entry.apply_settings)
    services: list[HttpServiceBase] = [entry, ReadinessService(settings, entry)]
    if settings.listen.metrics:
        services.append(MetricsService(settings, entry))
    if settings.peer_port:
        listen = ListenAddress(
            parse_listen_address(settings.listen.callers).host, settings.peer_port
        )
        services.append(BeliefService(listen, lambda: entry.session.feed))
    run_services(
        *services,
        background=watch.run,
        log_stream=sys.stdout,
    )


if __name__ == "__main__":
    main()

__all__ = ("main",)
