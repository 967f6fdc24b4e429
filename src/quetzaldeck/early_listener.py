"""Opens the socket for callers before the modules of the program are imported.

Load pattern: all VMs lose power or are killed at the same moment and restart under full
load. Half a core needs a second to import the modules. Until the socket is open, every
connection is refused; a caller retries at another VM, which refuses it as well, and
gives up. On an open socket the request waits in the kernel's queue for that second and
is then served.

The readiness address is not opened early, so the load balancer does not send callers
here while other VMs are ready.
"""

from __future__ import annotations

import socket
from pathlib import Path

import yaml

MAX_QUEUED_CONNECTIONS = 512
"""Connections that may wait to be accepted, also while a program starts; the kernel
drops the first packet of others, which their callers repeat only after a second."""

_FAULTS = (
    OSError,
    yaml.YAMLError,
    ValueError,
    TypeError,
    KeyError,
    AttributeError,
    OverflowError,
)


def open_early_listener(settings_path: str) -> socket.socket | None:
    """Listen on the callers' address of an entry VM's settings.

    :param settings_path: path of the settings file
    :returns: the socket; ``None`` if the settings are faulty or the address cannot be
        used, which the program reports when it loads the settings itself
    """
    try:
        data = yaml.safe_load(Path(settings_path).read_text(encoding="utf-8"))
        host, _, port = data["listen"]["callers"].rpartition(":")
        return socket.create_server(
            (host, int(port)), backlog=MAX_QUEUED_CONNECTIONS, reuse_port=False
        )
    except _FAULTS:
        return None


__all__ = ("MAX_QUEUED_CONNECTIONS", "open_early_listener")
