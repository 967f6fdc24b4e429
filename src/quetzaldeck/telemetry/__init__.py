"""Structured logs, Prometheus metrics and log analysis."""

from __future__ import annotations

from quetzaldeck.telemetry.agent_metrics import AgentMetrics
from quetzaldeck.telemetry.gateway_metrics import GatewayMetrics
from quetzaldeck.telemetry.log import configure_logging, locate_error, log_event
from quetzaldeck.telemetry.log_writer import LogWriter
from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

__all__ = (
    "AgentMetrics",
    "GatewayMetrics",
    "LogWriter",
    "UpstreamMetrics",
    "configure_logging",
    "locate_error",
    "log_event",
)
