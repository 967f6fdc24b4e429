"""Adapter to the platform: its header names, data formats and API calls, no policy."""

from __future__ import annotations

from quetzaldeck.platform.headers import (
    CALL_ID,
    build_handover_headers,
    build_request_headers,
    build_response_headers,
    read_call_head,
    read_response_head,
)
from quetzaldeck.platform.health_checks import HealthChecks
from quetzaldeck.platform.orders import ReplicaOrders
from quetzaldeck.platform.reports import ReplicaReports
from quetzaldeck.platform.store import PlatformStore

__all__ = (
    "CALL_ID",
    "HealthChecks",
    "PlatformStore",
    "ReplicaOrders",
    "ReplicaReports",
    "build_handover_headers",
    "build_request_headers",
    "build_response_headers",
    "read_call_head",
    "read_response_head",
)
