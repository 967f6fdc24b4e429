"""Voter sets as a conflict-free replicated data type."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims.voter_id import VoterId

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable


class VoterSet(NamedTuple):
    """Voters that were added and voters that were removed; removal is final.

    VMs that receive the same changes in a different order end with the same set:
    :meth:`merge` is commutative, associative and idempotent.
    """

    added: frozenset[VoterId] = frozenset()
    removed: frozenset[VoterId] = frozenset()

    @property
    def members(self) -> frozenset[VoterId]:
        """:returns: the voters in this set"""
        return self.added - self.removed

    @property
    def quorum(self) -> int:
        """:returns: the size of a majority; any two majorities have a common member"""
        return len(self.members) // 2 + 1

    def has_quorum(self, voter_ids: Collection[VoterId]) -> bool:
        """:returns: whether ``voter_ids`` include a majority of the members"""
        return len(self.members.intersection(voter_ids)) >= self.quorum

    def covers(self, other: VoterSet) -> bool:
        """:returns: whether this set includes every change in ``other``"""
        return self.added >= other.added and self.removed >= other.removed

    def merge(self, other: VoterSet) -> VoterSet:
        """:returns: the set with the changes of both sets"""
        return VoterSet(self.added | other.added, self.removed | other.removed)

    def change(
        self, *, add: Iterable[VoterId] = (), remove: Iterable[VoterId] = ()
    ) -> VoterSet:
        """:returns: the set after further changes"""
        return VoterSet(self.added.union(add), self.removed.union(remove))


def first_voter_set(vms: Iterable[str]) -> VoterSet:
    """:returns: the initial set of a fleet in which no voter has any state"""
    return VoterSet(frozenset(VoterId(vm) for vm in vms))


__all__ = ("VoterSet", "first_voter_set")
