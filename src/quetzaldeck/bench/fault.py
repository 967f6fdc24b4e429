"""Faults that a scenario injects."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class FaultKind(StrEnum):
    """Kinds of faults.

    ``CRASH`` takes the upstream ``target`` down: its running requests are lost and its
    connections break. ``SLOW`` multiplies the duration of its steps by ``factor``.
    ``SILENT`` stops delivery on its open connections for good; new ones work.
    ``PAUSE`` holds back all that the upstream sends until the fault ends. ``LEAVING``
    announces that it is leaving. ``ZONE_LOSS`` takes down every upstream
    and VM of a zone. ``STALE_REPORTS`` stops the load reports of all upstreams.
    """

    CRASH = "crash"
    SLOW = "slow"
    SILENT = "silent"
    PAUSE = "pause"
    LEAVING = "leaving"
    ZONE_LOSS = "zone_loss"
    STALE_REPORTS = "stale_reports"


class Fault(NamedTuple):
    """One injected fault.

    :param at_ms: when it begins
    :param target: name of an upstream or of an availability zone
    :param until_ms: when it ends; ``None``: it lasts until the end of the run
    """

    kind: FaultKind
    at_ms: float
    target: str = ""
    until_ms: float | None = None
    factor: float = 1.0


__all__ = ("Fault", "FaultKind")
