"""What is held about one other VM."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from quetzaldeck.membership.update import MemberUpdate
from quetzaldeck.membership.view import Member, MemberState

if TYPE_CHECKING:
    from quetzaldeck.directory import VmEntry

_UNHEARD_GENERATION = 0
N_FORMER_KEPT = 8


@dataclass
class MemberRecord:
    """Belief about one VM; owned by :class:`Membership`.

    :param news: newest update taken
    :param since_ms: when its state was taken on
    :param last_message_ms: last direct message of this incarnation; ``None``: none yet
    :param n_sent: how often the news has been passed on
    :param has_left: whether this incarnation has said that it is leaving
    :param former: incarnations that were replaced; none of them comes back
    """

    news: MemberUpdate
    since_ms: float
    last_message_ms: float | None = None
    is_listed: bool = False
    unlisted_ms: float | None = None
    n_sent: int = 0
    has_left: bool = False
    former: deque[str] = field(default_factory=lambda: deque(maxlen=N_FORMER_KEPT))

    @property
    def state(self) -> MemberState:
        """:returns: belief about the VM"""
        return self.news.state

    def take(self, news: MemberUpdate, now_ms: float) -> None:
        """Replace what is held."""
        if news.incarnation != self.news.incarnation:
            if self.news.incarnation:
                self.former.append(self.news.incarnation)
            if news.incarnation in self.former:
                self.former.remove(news.incarnation)
            self.last_message_ms = None
            self.has_left = False
        if news.state is MemberState.LEAVING:
            self.has_left = True
        if news.state is not self.news.state:
            self.since_ms = now_ms
        self.news = news
        self.n_sent = 0

    def to_member(self) -> Member:
        """:returns: the record as readers of the view see it"""
        news = self.news
        return Member(
            news.vm,
            news.incarnation,
            news.address,
            news.availability_zone,
            news.state,
            self.last_message_ms,
            self.is_listed,
        )


def build_unheard(entry: VmEntry, now_ms: float) -> MemberRecord:
    """:returns: the record of a VM that the list names and no message came from

    The list says that it should run, nothing says that it does: it is probed, but
    not counted as live.
    """
    news = MemberUpdate(
        entry.vm,
        "",
        _UNHEARD_GENERATION,
        0,
        MemberState.SUSPECTED,
        entry.address,
        entry.availability_zone,
    )
    return MemberRecord(news, now_ms)


__all__ = ("MemberRecord", "build_unheard")
