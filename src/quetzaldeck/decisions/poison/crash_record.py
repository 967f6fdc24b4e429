"""Crash sightings as the value of a record that VMs spread."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import msgspec

from quetzaldeck.decisions.poison.sighting import CrashSighting

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_CRASHES_IN_RECORD = 8
"""Crashes told of one request; more than the bound after which it is refused."""


class CrashObservation(NamedTuple):
    """One crash with a request on board.

    :param age_ms: time since it was seen when the record was made
    """

    upstream: str
    incarnation: str
    age_ms: float


class CrashRecord(NamedTuple):
    """What one VM knows of one request.

    :param cleared_age_ms: time since an engine answered it; ``None``: it did not
    """

    crashes: tuple[CrashObservation, ...] = ()
    cleared_age_ms: float | None = None


def encode_crash_record(sightings: Iterable[CrashSighting]) -> CrashRecord:
    """:returns: the sightings of one fingerprint, newest first"""
    ordered = sorted(sightings, key=_age)
    crashes = [
        CrashObservation(item.upstream, item.incarnation, item.age_ms)
        for item in ordered
        if item.upstream
    ]
    cleared = [item.age_ms for item in ordered if not item.upstream]
    return CrashRecord(
        tuple(crashes[:MAX_CRASHES_IN_RECORD]), cleared[0] if cleared else None
    )


def decode_crash_record(
    fingerprint: int, value: object, travelled_ms: float
) -> tuple[CrashSighting, ...]:
    """Read the value of a record.

    :param travelled_ms: time since the record was made
    :returns: its sightings; none if another release wrote it in another form
    """
    try:
        news = msgspec.convert(value, CrashRecord, strict=False)
    except msgspec.ValidationError:
        return ()
    sightings = [
        CrashSighting(
            fingerprint, seen.upstream, seen.incarnation, seen.age_ms + travelled_ms
        )
        for seen in news.crashes
    ]
    if news.cleared_age_ms is not None:
        cleared_ms = news.cleared_age_ms + travelled_ms
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
