"""Adapter to the platform: its header names, data formats and API calls, no policy."""

from __future__ import annotations

from quetzaldeck.platform.headers import (
    CALL_ID,
    build_answer_headers,
    build_request_headers,
    read_answer_head,
    read_call_head,
)
from quetzaldeck.platform.orders import ReplicaOrders
from quetzaldeck.platform.reports import ReplicaReports
from quetzaldeck.platform.store import PlatformStore

__all__ = (
    "CALL_ID",
    "PlatformStore",
    "ReplicaOrders",
    "ReplicaReports",
    "build_answer_headers",
    "build_request_headers",
    "read_answer_head",
    "read_call_head",
)
