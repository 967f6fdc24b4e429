"""Thresholds for detecting requests that crash upstreams."""

from __future__ import annotations

from typing import NamedTuple


class PoisonBounds(NamedTuple):
    """Thresholds of the detection.

    :param n_crashes: a request is refused after it was running in this many crashes.
        Two may be coincidence: a usual day has 20 VM failures, and a request runs for
        seconds. Three that hit the same request are not.
    :param n_crashes_answered: takes the place of ``n_crashes`` for a request that was
        answered a moment before: copies of it may run on every upstream that one cause
        ends at the same time, and the next run alone shows whether it does harm
    :param max_crashes: takes the place of ``n_crashes`` while about as many upstreams
        crash without the request, since three may then be coincidence, as in a series
        of crashes that reaches every upstream; and for the first of several requests
        that ran in the same crashes: a run of one, alone, shows which is to blame
    :param n_part_crashes: a part of prompts is refused after this many crashes one
        after the other; a sound part may be in several beside bad ones
    :param max_part_crashes: takes its place while other upstreams crash as often, or
        for a part that was answered a moment before
    :param max_chance: crashes without the request raise the limit only if one run of
        it would be hit by such a crash with at least this probability
    :param wave_ms: crashes of other requests are counted from this long before the
        first crash of a request until this long after its last
    :param forget_ms: how long a sighting counts; longer than any deadline plus the
        time within which callers retry
    :param unproven_ms: how long a broken connection waits for proof that its upstream
        crashed; longer than an upstream takes to start again
    :param presumed_ms: how long it takes until it is known whether an upstream lives
        that does not answer checks
    :param linger_ms: how long an upstream may go on running a request after its
        connection was closed; most notice it sooner
    :param settle_ms: how long after the end of a run it takes until all VMs know
        whether the upstream has survived it
    :param verify_ms: the same of a run that nobody waits for: an upstream that is
        silent has to miss two checks
    :param answered_ms: how long an answer shows that a request does no harm
    :param lived_ms: an upstream that writes for this long has survived the beginning of
        an answer, on which parts of prompts crash it
    :param alive_margin_ms: a report refutes a crash if it was measured at least this
        much later; the age of a report that came through other VMs omits part of its
        network delay
    :param same_crash_ms: sightings on one upstream within this time count as one crash,
        even if some name an older incarnation because they rest on an older report
    :param min_restart_ms: least time between crashes of two incarnations of an upstream
    :param propagation_ms: longest pause before a suspect runs again, so that the other
        VMs learn of the crash first
    :param min_propagation_ms: shortest such pause; those of different requests lie
        between the two, so that the suspects of one crash do not run together again
    :param needs_proof: whether the broken connection of an engine counts only once it
        is proven that the engine crashed; those of plain services always need proof
    :param max_fingerprints: maximum number of requests remembered
    :param max_answered: maximum number of answered requests remembered
    :param max_crashes_held: maximum number of crashes remembered
    :param max_parts: maximum number of parts recorded of one run
    :param max_lived_parts: maximum number of parts remembered that were answered
    :param max_open_runs: maximum number of open runs remembered of an upstream
    """

    n_crashes: int = 3
    n_crashes_answered: int = 4
    max_crashes: int = 6
    n_part_crashes: int = 3
    max_part_crashes: int = 5
    max_chance: float = 0.02
    wave_ms: float = 5_000.0
    forget_ms: float = 600_000.0
    unproven_ms: float = 10_000.0
    presumed_ms: float = 5_000.0
    linger_ms: float = 500.0
    settle_ms: float = 300.0
    verify_ms: float = 1_600.0
    answered_ms: float = 60_000.0
    lived_ms: float = 500.0
    alive_margin_ms: float = 3_000.0
    same_crash_ms: float = 3_000.0
    min_restart_ms: float = 250.0
    propagation_ms: float = 500.0
    min_propagation_ms: float = 250.0
    needs_proof: bool = False
    max_fingerprints: int = 10_000
    max_answered: int = 4_096
    max_crashes_held: int = 1_000
    max_parts: int = 32
    max_lived_parts: int = 16_384
    max_open_runs: int = 128


__all__ = ("PoisonBounds",)
