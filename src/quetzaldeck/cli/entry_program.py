"""The program of an entry VM, apart from its command line."""

from __future__ import annotations

import sys
from typing import TYPE_CHECKING, NoReturn

from quetzaldeck.cli.running import load_settings, run_services
from quetzaldeck.entry.handover_service import HandoverService
from quetzaldeck.entry.peers import BeliefService
from quetzaldeck.entry.service import EntryService, MetricsService, ReadinessService
from quetzaldeck.entry.settings import EntrySettings
from quetzaldeck.entry.settings_watch import SettingsWatch
from quetzaldeck.http import HttpServiceBase, ListenAddress, parse_listen_address

if TYPE_CHECKING:
    from pathlib import Path
    from socket import socket


SETTINGS_PATIENCE_MS = 1_000.0
"""The platform writes the file at each start and whenever the settings change. A VM
that exits meanwhile is down for a second or more, and may meet the same again."""


def run_entry(settings_path: Path, listener: socket | None = None) -> NoReturn:
    """Run an entry VM until SIGTERM or SIGINT.

    :param listener: socket for callers that is open already
    """
    settings = load_settings(
        settings_path, EntrySettings, patience_ms=SETTINGS_PATIENCE_MS
    )
    entry = EntryService(settings, listener=listener)
    watch = SettingsWatch(settings_path, EntrySettings, settings, entry.apply_settings)
    services: list[HttpServiceBase] = [entry, ReadinessService(settings, entry)]
    if settings.listen.metrics:
        services.append(MetricsService(settings, entry))
    if settings.peer_port:
        listen = ListenAddress(
            parse_listen_address(settings.listen.callers).host, settings.peer_port
        )
        services.append(
            BeliefService(
                listen,
                lambda: entry.session.feed,
                open_connections=entry.open_connections,
            )
        )
    if settings.handover_port:
        host = parse_listen_address(settings.listen.callers).host
        listen = ListenAddress(host, settings.handover_port)
        services.append(
            HandoverService(
                listen,
                lambda: entry.session.state,
                open_connections=entry.open_connections,
            )
        )
    run_services(
        *services,
        background=watch.run,
        log_stream=sys.stdout,
    )


__all__ = ("run_entry",)
