"""Exchanges the usage of limited customers with the other gateways by records."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.decisions.limits import LimitBounds, Usage, UsageUpdate
from quetzaldeck.dissemination.record import RecordDraft
from quetzaldeck.gateway.messages import ObserveUsage
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.dissemination.record import Record
    from quetzaldeck.gateway.dispatch_task import DispatchTask

USAGE_KIND = "usage"
_TTL_MS = round(LimitBounds().expiry_ms)


class UsageRecords:
    """Converts usage to one record per customer, and records to scheduler messages."""

    def __init__(self, dispatch: DispatchTask) -> None:
        self._dispatch = dispatch

    def take_drafts(self) -> list[RecordDraft]:
        """:returns: records for the customers whose usage changed"""
        return [
            RecordDraft(USAGE_KIND, update.customer, list(update.usage), _TTL_MS)
            for update in self._dispatch.take_usage_updates()
        ]

    def handle(self, record: Record) -> None:
        """Pass another VM's usage to the scheduler; it expires with its record."""
        if record.value is None:
            return
        try:
            usage = msgspec.convert(record.value, Usage)
        except msgspec.ValidationError as error:
            log_event("usage_ignored", level="WARNING", vm=record.vm, error=error)
            return
        update = UsageUpdate(record.key, usage)
        self._dispatch.send(ObserveUsage(record.vm, update))


__all__ = ("USAGE_KIND", "UsageRecords")
