"""Opens the socket for callers before the modules of the program are imported.

Load pattern: all VMs lose power or are killed at the same moment and restart under full
load. Half a core needs a second to import the modules. Until the socket is open, every
connection is refused; a caller retries at another VM, which refuses it as well, and
gives up. On an open socket the request waits in the kernel's queue for that second and
is then served.

While other VMs serve, a refused caller is better off: one of them serves it within
milliseconds, instead of this one a second later. So the socket is opened early only if
none of the peers that the settings name accepts a connection. The readiness address is
never opened early.
"""

from __future__ import annotations

import socket
from pathlib import Path
from typing import TYPE_CHECKING

import yaml

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_QUEUED_CONNECTIONS = 512
"""Connections that may wait to be accepted, also while a program starts; the kernel
drops the first packet of others, which their callers repeat only after a second."""

PEER_TIMEOUT_S = 0.03
"""Longest wait for each named peer. The kernel of a VM that runs accepts within the
round trip between availability zones, a few milliseconds."""

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
    :returns: the socket; ``None`` if a peer runs, and if the settings are faulty or the
        address cannot be used, which the program reports when it loads the settings
    """
    try:
        data = yaml.safe_load(Path(settings_path).read_text(encoding="utf-8"))
        host, port = _split_address(data["listen"]["callers"])
        peers = [_split_address(seed)[0] for seed in data.get("seeds", ())]
        if _accepts_any({peer for peer in peers if peer != host}, data["peer_port"]):
            return None
        return socket.create_server((host, port), backlog=MAX_QUEUED_CONNECTIONS)
    except _FAULTS:
        return None


def _split_address(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


def _accepts_any(hosts: Iterable[str], port: int) -> bool:
    """:returns: whether any of the hosts accepts a connection"""
    for host in hosts:
        try:
            socket.create_connection((host, port), PEER_TIMEOUT_S).close()
        except OSError:
            continue
        return True
    return False


__all__ = ("MAX_QUEUED_CONNECTIONS", "open_early_listener")
