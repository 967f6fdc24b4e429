"""Exchanges crash sightings with the other gateways by means of records."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.poison import decode_crash_record, encode_crash_record
from quetzaldeck.dissemination.record import RecordDraft
from quetzaldeck.gateway.messages import ObserveCrashes

if TYPE_CHECKING:
    from quetzaldeck.dissemination.record import Record
    from quetzaldeck.gateway.dispatch_task import DispatchTask

CRASH_KIND = "crash"
_KEY_BASE = 16


class CrashRecords:
    """Converts crash sightings to records, and records to scheduler messages."""

    def __init__(self, dispatch: DispatchTask) -> None:
        self._dispatch = dispatch

    def take_drafts(self) -> list[RecordDraft]:
        """:returns: records for the requests with new sightings"""
        return [
            RecordDraft(
                CRASH_KIND,
                f"{sightings[0].fingerprint:x}",
                encode_crash_record(sightings),
                round(self._dispatch.poison_bounds.forget_ms),
                is_urgent=True,
            )
            for sightings in self._dispatch.pop_crash_sightings()
        ]

    def handle(self, record: Record) -> None:
        """Pass the sightings of another VM to the scheduler."""
        forget_ms = self._dispatch.poison_bounds.forget_ms
        record_age_ms = max(0.0, forget_ms - record.remaining_ms)
        fingerprint = int(record.key, _KEY_BASE)
        sightings = decode_crash_record(fingerprint, record.value, record_age_ms)
        if sightings:
            self._dispatch.send(ObserveCrashes(sightings))


__all__ = ("CRASH_KIND", "CrashRecords")
