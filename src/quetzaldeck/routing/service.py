"""A service: the common properties of its upstreams."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures


class ColdStart(NamedTuple):
    """How the upstreams of a service have to be treated while they are cold.

    :param duration_ms: time for which an upstream is cold after it starts
    :param requests_per_s: requests a second that a cold one tolerates from all VMs
    """

    duration_ms: float
    requests_per_s: float


class Service(NamedTuple):
    """One service of the configuration in force.

    :param max_connections: maximum number of connections that an upstream accepts
    :param engine: figures of its engines; ``None`` for a plain service
    :param cold_start: ``None`` if its upstreams need no protection while they are cold
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineFigures | None = None
    cold_start: ColdStart | None = None


__all__ = ("ColdStart", "Service")
