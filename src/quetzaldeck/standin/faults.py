"""Persistent faults of stand-ins, set in their settings or at run time."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.standin.endless import ENDLESS_KINDS


class EngineFaults(NamedTuple):
    """Faults of a stand-in engine."""

    crash_marker: Annotated[
        str, Option("A prompt that contains this text crashes the engine; empty: none.")
    ] = ""
    crash_after_ms: Annotated[
        int, Option("Time from the arrival of such a prompt to the crash.", unit="ms")
    ] = 50
    restart_ms: Annotated[
        int, Option("How long the engine is down after a crash.", unit="ms")
    ] = 500
    doubles_chunks: Annotated[bool, Option("Sends each chunk twice.")] = False
    delays_chunks: Annotated[
        bool, Option("Sends each chunk once more after the next one.")
    ] = False
    swaps_chunks: Annotated[bool, Option("Sends chunks pairwise swapped.")] = False
    sends_foreign_chunks: Annotated[
        bool, Option("Sends chunks of another attempt in addition.")
    ] = False
    extra_load_lag_ms: Annotated[
        int, Option("Added to the age of load reports.", unit="ms", minimum=0)
    ] = 0
    cache_event_gap: Annotated[
        int, Option("Drops every n-th cache event; 0: none.", minimum=0)
    ] = 0
    cache_event_lag_ms: Annotated[
        int, Option("Delay after which cache events are served.", unit="ms", minimum=0)
    ] = 0
    ignores_fencing: Annotated[
        bool, Option("Accepts commands with an old fencing token.")
    ] = False
    endless: Annotated[
        str,
        Option(
            "What it sends without end in place of answers; empty: nothing.",
            choices=ENDLESS_KINDS,
        ),
    ] = ""
    rest_ms: Annotated[
        int,
        Option(
            "Turns calls away and asks for so much rest; 0: it does not.",
            unit="ms",
            minimum=0,
        ),
    ] = 0
    is_leaving: Annotated[
        bool, Option("Says in each response to a call that it leaves.")
    ] = False


class ServiceFaults(NamedTuple):
    """Faults of a stand-in replica of a plain service."""

    extra_duration_ms: Annotated[
        int, Option("Added to the duration of a call.", unit="ms", minimum=0)
    ] = 0
    n_crashes_before: Annotated[
        int, Option("Number of next calls that are aborted before they run.", minimum=0)
    ] = 0
    n_crashes_after: Annotated[
        int, Option("Number of next calls that are aborted after they ran.", minimum=0)
    ] = 0
    endless: Annotated[
        str,
        Option(
            "What it sends without end in place of answers; empty: nothing.",
            choices=ENDLESS_KINDS,
        ),
    ] = ""
    rest_ms: Annotated[
        int,
        Option(
            "Turns calls away and asks for so much rest; 0: it does not.",
            unit="ms",
            minimum=0,
        ),
    ] = 0
    is_leaving: Annotated[
        bool, Option("Says in each response to a call that it leaves.")
    ] = False


class ConfigurationFaults(NamedTuple):
    """Faults of the stand-in configuration service."""

    is_down: Annotated[bool, Option("Answers every call with status 503.")] = False
    n_revisions_behind: Annotated[
        int, Option("Serves a value this many revisions old.", minimum=0)
    ] = 0
    hangs_watch: Annotated[bool, Option("Never answers a watch.")] = False


class VmListFaults(NamedTuple):
    """Faults of the stand-in VM list."""

    is_down: Annotated[bool, Option("Answers every call with status 503.")] = False


__all__ = ("ConfigurationFaults", "EngineFaults", "ServiceFaults", "VmListFaults")
