"""Limits of group reservations."""

from __future__ import annotations

from typing import NamedTuple


class GroupBounds(NamedTuple):
    """Limits of group reservations.

    :param unreserved_share: share of an engine's memory that reservations must leave
        free, so that every member can still serve short requests
    :param prefers_zone: whether a group within one availability zone is preferred to
        one with more free memory; false where transfers between zones are fast
    :param min_members: fewest members of a group, if the pool has that many engines.
        Small parts fit into the free memory of busy engines where two halves of the
        prompt would not.
    :param max_members: most members of a group; transfers grow with its square
    :param margin: memory reserved per estimated prompt token
    :param max_pending: pending reservations of one VM; more would only hold memory
        while they wait for each other
    :param aged_ms: wait after which a long request gets a reservation on one engine;
        otherwise short requests take freed memory before there is enough of it
    :param min_aged_share: share of an engine's memory that a request must need at least
        to get such a reservation
    :param max_wait_ms: longest wait for one member, while the members before it are
        reserved. Giving up loses the position in the engines' queues, so that a short
        wait makes the longest prompts fail.
    :param max_wait_share: share of the remaining time that all waits together may take
    :param poll_interval_ms: time between two polls of a pending reservation
    """

    unreserved_share: float = 0.25
    prefers_zone: bool = True
    min_members: int = 1
    max_members: int = 8
    margin: float = 1.1
    max_pending: int = 2
    aged_ms: float = 10_000.0
    min_aged_share: float = 0.1
    max_wait_ms: float = 60_000.0
    max_wait_share: float = 0.5
    poll_interval_ms: float = 100.0

    def member_wait_ms(self, remaining_ms: float, n_members: int) -> float:
        """:returns: longest wait for each member of a group"""
        return min(self.max_wait_ms, remaining_ms * self.max_wait_share / n_members)


__all__ = ("GroupBounds",)
