"""Usage of limited customers between this gateway and the others, by records."""

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
    """Turns usage into records by customer, and records into messages."""

    def __init__(self, dispatch: DispatchTask) -> None:
        self._dispatch = dispatch

    def take_drafts(self) -> list[RecordDraft]:
        """:returns: records on the customers whose usage changed"""
        return [
            RecordDraft(USAGE_KIND, news.customer, list(news.usage), _TTL_MS)
            for news in self._dispatch.take_usage_news()
        ]

    def handle(self, record: Record) -> None:
        """Pass on what another VM uses; it ends with its record."""
        if record.value is None:
            return
        try:
            usage = msgspec.convert(record.value, Usage)
        except msgspec.ValidationError as error:
            log_event("usage_ignored", level="WARNING", vm=record.vm, error=error)
            return
        news = UsageUpdate(record.key, usage)
        self._dispatch.send(ObserveUsage(record.vm, news))


__all__ = ("USAGE_KIND", "UsageRecords")
