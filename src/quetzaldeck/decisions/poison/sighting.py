"""Observations of requests that ran on engines, as VMs share them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CrashSighting(NamedTuple):
    """A request that was running on an engine when it crashed, or that was cleared.

    :param fingerprint: hash of the input that the engine ran
    :param upstream: name of the engine; ``""`` if the request is cleared
    :param incarnation: incarnation that crashed; with it, a crash that several VMs see
        is counted once
    :param age_ms: time since the crash was seen or the request was cleared
    :param run_ms: how long the request had run; ``None``: unknown
    :param was_answered: whether it had been answered a moment before
    """

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float
    run_ms: float | None = None
    was_answered: bool = False


class RunState(StrEnum):
    """What is known of a run.

    ``OPEN``: the request may run. ``MISSING``: it may have run on an upstream that does
    not answer checks. ``SURVIVED``: that upstream is known to live after all.
    ``CLOSED``: the run has ended.
    """

    OPEN = "open"
    MISSING = "missing"
    SURVIVED = "survived"
    CLOSED = "closed"


class RunSighting(NamedTuple):
    """A request that an upstream runs, or may have run when it ended.

    :param age_ms: time since it was sent
    :param remaining_ms: time until the upstream can't run it any longer; negative if
        that has passed
    :param was_answered: whether it had been answered a moment before
    :param is_awaited: whether the VM that sent it still waits for the answer
    """

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float
    remaining_ms: float
    state: RunState
    was_answered: bool = False
    is_awaited: bool = False


__all__ = ("CrashSighting", "RunSighting", "RunState")
