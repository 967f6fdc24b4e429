"""Figures of the judgement on requests that crash engines."""

from __future__ import annotations

from typing import NamedTuple


class PoisonBounds(NamedTuple):
    """Bounds of the judgement.

    :param n_crashes: engine crashes with a request on board after which it is
        refused. Two may be chance: an ordinary day has 20 VM failures, and a request
        lives for seconds; three of them on the same request is none.
    :param max_crashes: the same while about as many engines crash without it: then
        three may be chance, as they are in a wave that takes every engine
    :param wave_ms: time around its crashes in which those of others are counted
    :param forget_ms: how long a sighting counts; longer than any deadline plus the
        time in which callers send again
    :param alive_margin_ms: how much later than a sighting a report must have been
        measured to refute it; the age of a report that came through other VMs leaves
        out some of its travelling time
    :param same_crash_ms: sightings on one engine within this time are of one crash,
        though some name its incarnation by an older report
    :param propagation_ms: pause before a suspect runs again, in which the other VMs learn
        of the crash
    :param max_fingerprints: requests held
    :param max_crashes_held: crashes held
    """

    n_crashes: int = 3
    max_crashes: int = 6
    wave_ms: float = 30_000.0
    forget_ms: float = 600_000.0
    alive_margin_ms: float = 3_000.0
    same_crash_ms: float = 3_000.0
    propagation_ms: float = 500.0
    max_fingerprints: int = 10_000
    max_crashes_held: int = 1_000


__all__ = ("PoisonBounds",)
