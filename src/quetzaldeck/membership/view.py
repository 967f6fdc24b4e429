"""Snapshot of the entry VMs, as one agent sees them."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class MemberState(StrEnum):
    """State that an agent believes a VM to be in."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(NamedTuple):
    """One entry VM.

    :param incarnation: id of the agent's current incarnation; ``""`` if unknown
    :param address: base URL of its agent
    :param last_message_ms: monotonic time of the last direct message of this
        incarnation; ``None`` if there was none
    :param is_listed: whether the platform's list, as last read, names it
    """

    vm: str
    incarnation: str
    address: str
    availability_zone: str
    state: MemberState
    last_message_ms: float | None
    is_listed: bool


class MembershipView(NamedTuple):
    """All known members at one moment, this VM included.

    :param vm: this VM
    :param incarnation: current incarnation of this agent
    :param list_read_ms: monotonic time of the last read of the platform's list;
        ``None`` if it was never read
    """

    vm: str
    incarnation: str
    members: tuple[Member, ...]
    list_read_ms: float | None

    def list_live(self) -> tuple[Member, ...]:
        """:returns: the members believed to be live"""
        return tuple(m for m in self.members if m.state is MemberState.LIVE)


__all__ = ("Member", "MemberState", "MembershipView")
