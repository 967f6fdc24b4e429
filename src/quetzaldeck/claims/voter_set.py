"""Sets of voters that only grow in what they know."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims.voter_id import VoterId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


class VoterSet(NamedTuple):
    """Seats that were added and seats that were removed, once and for all.

    Two VMs that learn of the same changes in another order arrive at the same
    set: :meth:`merge` is commutative, associative and idempotent.
    """

    added: frozenset[VoterId] = frozenset()
    removed: frozenset[VoterId] = frozenset()

    @property
    def members(self) -> frozenset[VoterId]:
        """:returns: the seats that vote"""
        return self.added - self.removed

    @property
    def quorum(self) -> int:
        """:returns: the number of votes that any two majorities share one of"""
        return len(self.members) // 2 + 1

    def has_quorum(self, voter_ids: Collection[VoterId]) -> bool:
        """:returns: whether ``seats`` hold a majority of the members"""
        return len(self.members.intersection(voter_ids)) >= self.quorum

    def covers(self, other: VoterSet) -> bool:
        """:returns: whether every change in ``other`` is in this set as well"""
        return self.added >= other.added and self.removed >= other.removed

    def merge(self, other: VoterSet) -> VoterSet:
        """:returns: the set with the changes of both"""
        return VoterSet(self.added | other.added, self.removed | other.removed)

    def change(
        self, *, add: Iterable[VoterId] = (), remove: Iterable[VoterId] = ()
    ) -> VoterSet:
        """:returns: the set after further changes"""
        return VoterSet(self.added.union(add), self.removed.union(remove))


def first_voter_set(vms: Iterable[str]) -> VoterSet:
    """:returns: the set that a fleet without memory starts from"""
    return VoterSet(frozenset(VoterId(vm) for vm in vms))


__all__ = ("VoterSet", "first_voter_set")
