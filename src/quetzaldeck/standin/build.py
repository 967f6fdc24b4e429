"""Builds stand-ins from their settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.standin.configuration_service import ConfigurationServiceStandin
from quetzaldeck.standin.engine import EngineStandin
from quetzaldeck.standin.plain_service import PlainServiceStandin
from quetzaldeck.standin.vm_list import VmListStandin

if TYPE_CHECKING:
    from quetzaldeck.http import HttpServiceBase
    from quetzaldeck.standin.settings import StandinSettings


def build_standins(settings: StandinSettings) -> list[HttpServiceBase]:
    """:returns: all configured stand-ins, not started yet"""
    services: list[HttpServiceBase] = []
    if settings.configuration_service is not None:
        services.append(ConfigurationServiceStandin(settings.configuration_service))
    if settings.vm_list is not None:
        services.append(VmListStandin(settings.vm_list))
    services.extend(EngineStandin(engine) for engine in settings.engines)
    services.extend(PlainServiceStandin(service) for service in settings.services)
    return services


__all__ = ("build_standins",)
