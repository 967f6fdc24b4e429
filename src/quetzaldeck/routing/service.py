"""A service: the common properties of its upstreams."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bundle.engine_figures import EngineFigures


class Service(NamedTuple):
    """One service of the configuration in force.

    :param max_connections: maximum number of connections that an upstream accepts
    :param engine: figures of its engines; ``None`` for a plain service
    """

    name: str
    health_path: str
    max_connections: int
    engine: EngineFigures | None = None


__all__ = ("Service",)
