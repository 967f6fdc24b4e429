"""Whether a VM reaches the upstreams of a service."""

from __future__ import annotations

from enum import StrEnum


class PathVerdict(StrEnum):
    """What a VM concludes of its path to the upstreams of one service.

    ``REACHED``: nothing shows the contrary. ``UNREACHED``: probes fail, and it is not
    known why. ``PARTITIONED``: probes fail, but the upstreams answer other VMs.
    ``DOWN``: each upstream has failed, and none answers another VM.
    """

    REACHED = "reached"
    UNREACHED = "unreached"
    PARTITIONED = "partitioned"
    DOWN = "down"


__all__ = ("PathVerdict",)
