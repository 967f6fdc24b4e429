"""A voter's view of the VMs in the fleet."""

from __future__ import annotations

from typing import NamedTuple


class FleetView(NamedTuple):
    """A voter's view of the fleet; a wrong view cannot make a call run twice.

    :param listed: VMs on the platform's list
    :param gone: VMs that should not vote: dead, or replaced in the group by other VMs
    :param wanted: VMs that should vote; ``None``: all listed VMs
    """

    listed: frozenset[str] = frozenset()
    gone: frozenset[str] = frozenset()
    wanted: frozenset[str] | None = None

    @property
    def voters(self) -> frozenset[str]:
        """:returns: VMs that should vote"""
        return self.listed if self.wanted is None else self.wanted


__all__ = ("FleetView",)
