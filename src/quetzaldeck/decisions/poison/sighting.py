"""One observation of a request in an engine crash, as VMs share it."""

from __future__ import annotations

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


__all__ = ("CrashSighting",)
