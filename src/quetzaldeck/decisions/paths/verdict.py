"""Whether a VM reaches the upstreams of a service."""

from __future__ import annotations

from enum import StrEnum


class PathVerdict(StrEnum):
    """What a VM concludes of its path to the upstreams of one service.

    ``REACHED``: nothing shows the contrary. ``DOUBTED``: a probe is not answered yet.
    ``OPEN_ONLY``: new connections fail, but
    upstreams answer on open ones. ``UNREACHED``: probes fail, and it is not
    known why. ``PARTITIONED``: probes fail, but the upstreams answer other VMs.
    ``DOWN``: each upstream has failed, and none answers another VM.
    """

    REACHED = "reached"
    DOUBTED = "doubted"
    OPEN_ONLY = "open_only"
    UNREACHED = "unreached"
    PARTITIONED = "partitioned"
    DOWN = "down"

    @property
    def allows_attempts(self) -> bool:
        """:returns: whether an attempt of this VM may succeed"""
        return self in _USABLE


_USABLE = frozenset((PathVerdict.REACHED, PathVerdict.DOUBTED, PathVerdict.OPEN_ONLY))

__all__ = ("PathVerdict",)
