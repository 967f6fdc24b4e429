"""Figures of group reservations and their grounds."""

from __future__ import annotations

from typing import NamedTuple


class GroupBounds(NamedTuple):
    """Bounds of group reservations.

    :param unreserved_share: share of an engine's memory that no reservation takes, so
        that short requests go on being served by every member
    :param prefers_zone: whether a group in one availability zone is better than one
        with more room; where parts travel fast it is not
    :param min_members: engines that a group has if the pool has as many. Small parts
        fit beside what the members hold already, where two halves would not.
    :param max_members: engines in a group; the transfers grow with its square
    :param margin: memory reserved over the estimate of the prompt's tokens
    :param max_pending: reservations that one VM may have waiting at a time; more
        would only hold memory while they wait for each other
    :param aged_ms: wait after which a long request gets a reservation on one
        engine, since short ones would fill each gap before it is large enough
    :param min_aged_share: share of an engine's memory from which a request is long
        enough for that
    :param max_wait_ms: longest wait for one member, while those before it are held.
        Giving up loses the places in the engines' lines, so a short wait lets the
        longest prompts fail.
    :param max_wait_share: share of the time left that all waits together may take
    :param poll_interval_ms: time between two questions for a waiting reservation
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

    def member_wait_ms(self, left_ms: float, n_members: int) -> float:
        """:returns: longest wait for each of the members of a group"""
        return min(self.max_wait_ms, left_ms * self.max_wait_share / n_members)


__all__ = ("GroupBounds",)
