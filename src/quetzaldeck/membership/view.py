"""What one VM believes about the other entry VMs."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class MemberState(StrEnum):
    """Belief about one VM."""

    LIVE = "live"
    SUSPECTED = "suspected"
    LEAVING = "leaving"
    DEAD = "dead"


class Member(NamedTuple):
    """One entry VM.

    :param incarnation: id of the agent's current start; ``""`` if never heard
    :param address: base URL of its agent
    :param last_message_ms: monotonic time of its last message; ``None``: never heard
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
    """The members at one moment, this VM included.

    :param vm: this VM
    :param incarnation: this agent's start
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
