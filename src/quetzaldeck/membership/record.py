"""State that an agent keeps about one other VM."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzaldeck.membership.update import MemberUpdate
from quetzaldeck.membership.view import Member, MemberState

if TYPE_CHECKING:
    from quetzaldeck.directory import VmEntry

_UNKNOWN_GENERATION = 0
MAX_FORMER_INCARNATIONS = 8


@dataclass
class MemberRecord:
    """State of one other VM; owned by :class:`Membership`.

    :param update: newest accepted update
    :param since_ms: monotonic time since which the member has had its state
    :param last_message_ms: time of the last direct message of this incarnation;
        ``None`` if there was none
    :param is_listed: whether the platform's list, as last read, names the VM
    :param unlisted_ms: since when the list has not named it; ``None`` while it does
    :param n_sent: how often the update has been sent to peers
    :param has_left: whether this incarnation has announced that it is leaving
    :param former_incarnations: the last incarnations that were replaced; updates
        about them are ignored
    """

    update: MemberUpdate
    since_ms: float
    last_message_ms: float | None = None
    is_listed: bool = False
    unlisted_ms: float | None = None
    n_sent: int = 0
    has_left: bool = False
    former_incarnations: deque[str] = field(
        default_factory=lambda: deque(maxlen=MAX_FORMER_INCARNATIONS)
    )

    @property
    def state(self) -> MemberState:
        """:returns: state of the VM in the newest update"""
        return self.update.state

    def replace_update(self, update: MemberUpdate, now_ms: float) -> None:
        """Replace the update and what depends on its incarnation and state."""
        if update.incarnation != self.update.incarnation:
            if self.update.incarnation:
                self.former_incarnations.append(self.update.incarnation)
            if update.incarnation in self.former_incarnations:
                self.former_incarnations.remove(update.incarnation)
            self.last_message_ms = None
            self.has_left = False
        if update.state is MemberState.LEAVING:
            self.has_left = True
        if update.state is not self.update.state:
            self.since_ms = now_ms
        self.update = update
        self.n_sent = 0

    def to_member(self) -> Member:
        """:returns: the public form of this record, for :class:`MembershipView`"""
        update = self.update
        return Member(
            update.vm,
            update.incarnation,
            update.address,
            update.availability_zone,
            update.state,
            self.last_message_ms,
            self.is_listed,
        )


def build_listed_record(entry: VmEntry, now_ms: float) -> MemberRecord:
    """:returns: the record of a VM known only from the platform's list

    The list says that the VM should exist, but no message shows that its agent is
    running. So it is probed, but does not count as live.
    """
    update = MemberUpdate(
        entry.vm,
        "",
        _UNKNOWN_GENERATION,
        0,
        MemberState.SUSPECTED,
        entry.address,
        entry.availability_zone,
    )
    return MemberRecord(update, now_ms)


__all__ = ("MemberRecord", "build_listed_record")
