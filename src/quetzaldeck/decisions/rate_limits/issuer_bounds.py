"""How fast VMs learn of each other, as far as permits depend on it."""

from __future__ import annotations

from typing import NamedTuple


class IssuerBounds(NamedTuple):
    """Times in which the VMs of a fleet learn that one has joined or gone.

    :param n_small_fleet: number of VMs up to which a message can list all of them
    :param settling_ms: time in which the VMs of such a fleet learn of a new one
    :param large_settling_ms: the same in a larger fleet
    :param removal_ms: time after which VMs remove one without updates
    """

    n_small_fleet: int
    settling_ms: float
    large_settling_ms: float
    removal_ms: float


__all__ = ("IssuerBounds",)
