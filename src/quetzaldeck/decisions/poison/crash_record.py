"""Encodes crash sightings as the value of a record that VMs share."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.decisions.poison.sighting import CrashSighting

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CRASHES_IN_RECORD = 8
"""Crashes in the record of one request; more than the limit at which it is refused."""


class CrashObservation(NamedTuple):
    """One engine crash while a request was running on the engine.

    :param age_ms: time from the crash until the record was made
    :param run_ms: how long the request had run; ``None``: unknown
    :param was_answered: whether it had been answered a moment before
    """

    upstream: str
    incarnation: str
    age_ms: float
    run_ms: float | None = None
    was_answered: bool = False


class CrashRecord(NamedTuple):
    """What one VM knows about one request.

    :param cleared_age_ms: time since an engine answered it; ``None``: none has
    """

    crashes: tuple[CrashObservation, ...] = ()
    cleared_age_ms: float | None = None


def encode_crash_record(sightings: Iterable[CrashSighting]) -> CrashRecord:
    """:returns: the record of one fingerprint's sightings, newest first"""
    ordered = sorted(sightings, key=_age)
    crashes = [CrashObservation(*item[1:]) for item in ordered if item.upstream]
    cleared = [item.age_ms for item in ordered if not item.upstream]
    return CrashRecord(
        tuple(crashes[:MAX_CRASHES_IN_RECORD]), cleared[0] if cleared else None
    )


def decode_crash_record(
    fingerprint: int, value: object, travelled_ms: float
) -> tuple[CrashSighting, ...]:
    """Decode the value of a record.

    :param travelled_ms: time since the record was made
    :returns: its sightings; none if another release wrote it in another format
    """
    try:
        record = msgspec.convert(value, CrashRecord, strict=False)
    except msgspec.ValidationError:
        return ()
    sightings = [
        CrashSighting(fingerprint, *crash)._replace(age_ms=crash.age_ms + travelled_ms)
        for crash in record.crashes
    ]
    if record.cleared_age_ms is not None:
        cleared_ms = record.cleared_age_ms + travelled_ms
        sightings.append(CrashSighting(fingerprint, "", "", cleared_ms))
    return tuple(sightings)


def _age(sighting: CrashSighting) -> float:
    return sighting.age_ms


__all__ = (
    "CrashObservation",
    "CrashRecord",
    "decode_crash_record",
    "encode_crash_record",
)
