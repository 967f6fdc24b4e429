"""Updates about members, as agents send them to each other."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.membership.view import MemberState


class MemberUpdate(NamedTuple):
    """State of one incarnation of a VM's agent, as some agent believes it to be.

    :param generation: orders the incarnations of one VM: the wall clock in ms when
        the agent started, raised by that agent if it learns of a higher one. A peer
        that has no update about a new incarnation yet assumes one above that of the
        former incarnation
    :param state_version: counter that only that agent raises, to refute a suspicion
        or to leave; the higher one is newer
    """

    vm: str
    incarnation: str
    generation: int
    state_version: int
    state: MemberState
    address: str
    availability_zone: str


# Of two updates with the same state version the one further down this order wins, so
# only the agent itself can refute a suspicion, by raising its state version.
_STATE_ORDER = {
    MemberState.LIVE: 0,
    MemberState.SUSPECTED: 1,
    MemberState.LEAVING: 2,
    MemberState.DEAD: 3,
}


def is_newer(update: MemberUpdate, current: MemberUpdate) -> bool:
    """:returns: whether ``update`` is newer than ``current``, about the same VM"""
    if update.incarnation != current.incarnation:
        order = (update.generation, update.incarnation)
        return order > (current.generation, current.incarnation)
    if current.state is MemberState.LEAVING:
        return update.state is MemberState.DEAD
    return _rank(update) > _rank(current)


def _rank(update: MemberUpdate) -> tuple[int, int, int]:
    # The agent raises its generation to any higher one that a peer assumed, so the
    # higher generation of the same incarnation is newer.
    return update.generation, update.state_version, _STATE_ORDER[update.state]


__all__ = ("MemberUpdate", "is_newer")
