"""HTTP server components shared by all programs."""

from __future__ import annotations

from quetzaldeck.http.address import ListenAddress, parse_listen_address
from quetzaldeck.http.connection_guard import ConnectionGuard, Stall
from quetzaldeck.http.json import JSON_TYPE, BodyError, decode_body, json_response
from quetzaldeck.http.metrics import metrics_response
from quetzaldeck.http.open_connections import OpenConnections
from quetzaldeck.http.request_limits import Bound, RequestLimits
from quetzaldeck.http.service import SHORT_SHUTDOWN_TIMEOUT_S, HttpServiceBase
from quetzaldeck.http.shedding import ConnectionShedder

__all__ = (
    "JSON_TYPE",
    "SHORT_SHUTDOWN_TIMEOUT_S",
    "BodyError",
    "Bound",
    "ConnectionGuard",
    "ConnectionShedder",
    "HttpServiceBase",
    "ListenAddress",
    "OpenConnections",
    "RequestLimits",
    "Stall",
    "decode_body",
    "json_response",
    "metrics_response",
    "parse_listen_address",
)
