"""The routing configuration: routes, services, API keys and limits of one version."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.routing.caller_limits import CallerLimits
from quetzaldeck.routing.key_owner import KeyOwner
from quetzaldeck.routing.route import Route
from quetzaldeck.routing.service import Service


class RoutingConfiguration(NamedTuple):
    """One version of the configuration that operators publish.

    :param keys: key owners by API key; ``None``: requests need no key
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    keys: dict[str, KeyOwner] | None = None
    limits: CallerLimits = CallerLimits()


__all__ = ("RoutingConfiguration",)
