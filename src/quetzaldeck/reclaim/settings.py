"""Settings of reclaim."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class ReclaimSettings(NamedTuple):
    """When orphaned engine memory is released."""

    interval_ms: Annotated[
        int, Option("Time between two scans of an engine.", unit="ms", minimum=20)
    ] = 15_000
    min_age_ms: Annotated[
        int, Option("Allocations younger than this are never released.", unit="ms")
    ] = 15_000
    quiet_ms: Annotated[
        int,
        Option("Silence after which a replaced gateway counts as gone.", unit="ms"),
    ] = 10_000
    clock_skew_ms: Annotated[
        int,
        Option("Largest difference between the clocks of two VMs.", unit="ms"),
    ] = 30_000
    max_deadline_ms: Annotated[
        int, Option("Assumed deadline of a request whose id contains none.", unit="ms")
    ] = 24 * 3_600_000
    max_questions: Annotated[
        int, Option("Owners queried in one scan of an engine.", minimum=1)
    ] = 8


__all__ = ("ReclaimSettings",)
