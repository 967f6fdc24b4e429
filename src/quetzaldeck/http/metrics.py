"""Response of the metrics endpoint."""

from __future__ import annotations

from typing import TYPE_CHECKING

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

if TYPE_CHECKING:
    from prometheus_client import CollectorRegistry


def metrics_response(registry: CollectorRegistry) -> web.Response:
    """:returns: all metrics of a registry in the Prometheus text format"""
    return web.Response(
        body=generate_latest(registry), headers={"Content-Type": CONTENT_TYPE_LATEST}
    )


__all__ = ("metrics_response",)
