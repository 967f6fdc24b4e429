"""The voters of one agent, one for each group of keys."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.claims import FleetView, Voter, choose_voters, group_of
from quetzaldeck.membership import MemberState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.claims import ClaimSettings
    from quetzaldeck.clock import Clock
    from quetzaldeck.membership import Member, MembershipView
    from quetzaldeck.peers import PeerIdentity

MAX_MISSING_MS = 10_000.0
"""Time after which a voter unknown to the membership counts as gone."""


class VoterGroups:
    """Creates voters on demand and gives each of them its view of the fleet.

    :param identity: this VM and the incarnation of its agent
    :param read_view: current membership
    """

    def __init__(
        self,
        identity: PeerIdentity,
        clock: Clock,
        settings: ClaimSettings,
        *,
        read_view: Callable[[], MembershipView],
    ) -> None:
        self._identity = identity
        self._clock = clock
        self._settings = settings
        self._read_view = read_view
        self._voters: dict[int, Voter] = {}
        self._zones: dict[str, str] = {}
        self._chosen: dict[int, frozenset[str]] = {}
        self._missing_since_ms: dict[str, float] = {}

    @property
    def voters(self) -> tuple[Voter, ...]:
        """:returns: the voters created so far"""
        return tuple(self._voters.values())

    @property
    def can_vote_on_new_keys(self) -> bool:
        """:returns: whether this VM can vote in each group in which it should"""
        wanted = self.list_wanted()
        return bool(self._zones) and all(
            self._find_or_create(group).can_vote_on_new_keys for group in wanted
        )

    def find(self, key: str) -> Voter:
        """:returns: the voter for a claim's key; the voter may be in no voter set"""
        return self.get(group_of(key, self._settings.n_groups))

    def get(self, group: int) -> Voter:
        """:returns: the voter of a group

        :raises ValueError: if the group number is not below ``n_groups``
        """
        if not 0 <= group < self._settings.n_groups:
            msg = (
                f"group {group} does not exist: claims.n_groups is "
                f"{self._settings.n_groups} here; set it to the same value on all VMs"
            )
            raise ValueError(msg)
        voter = self._find_or_create(group)
        voter.update_view(self.build_view(group))
        return voter

    def list_active(self) -> tuple[int, ...]:
        """:returns: groups in which this VM votes, is awaited, or should vote"""
        needed = {group for group, voter in self._voters.items() if voter.must_sync}
        return tuple(sorted(needed.union(self.list_wanted())))

    def list_wanted(self) -> tuple[int, ...]:
        """:returns: groups in which this VM should vote"""
        self._refresh()
        groups = range(self._settings.n_groups)
        return tuple(group for group in groups if self._is_wanted(group))

    def build_view(self, group: int) -> FleetView:
        """:returns: the current membership as a group's voter needs it

        A VM that was replaced by another one in the group counts as gone.
        """
        self._refresh()
        chosen = self._choose(group)
        view = self._read_view()
        listed = frozenset(m.vm for m in view.members if m.is_listed)
        if view.list_read_ms is None:
            return FleetView(listed, wanted=chosen)
        required_sets = self._find_or_create(group).chain.required_sets
        voters = {
            voter_id.vm for voter_set in required_sets for voter_id in voter_set.members
        }
        alive = self._list_alive(view, voters)
        is_small = len(self._zones) <= self._settings.max_voters
        kept = alive if is_small else alive & chosen
        return FleetView(listed, frozenset(voters - kept), chosen)

    def _list_alive(self, view: MembershipView, voters: set[str]) -> set[str]:
        """:returns: members not known to be dead, and voters not yet known

        A newly started agent learns of its peers one by one and may receive a voter
        set before it knows all its members. If it counted these as gone, each start
        would remove live voters.
        """
        now_ms = self._clock.now_ms()
        known = {member.vm for member in view.members}
        for vm in self._missing_since_ms.keys() & known:
            del self._missing_since_ms[vm]
        for vm in voters - known:
            self._missing_since_ms.setdefault(vm, now_ms)
        alive = {m.vm for m in view.members if m.state is not MemberState.DEAD}
        return alive.union(
            vm
            for vm, since_ms in self._missing_since_ms.items()
            if now_ms - since_ms < MAX_MISSING_MS
        )

    def _find_or_create(self, group: int) -> Voter:
        voter = self._voters.get(group)
        if voter is None:
            voter = self._voters[group] = Voter(
                vm=self._identity.vm,
                incarnation=self._identity.incarnation,
                clock=self._clock,
                settings=self._settings,
                group=group,
            )
        return voter

    def _is_wanted(self, group: int) -> bool:
        return self._identity.vm in self._choose(group)

    def _choose(self, group: int) -> frozenset[str]:
        chosen = self._chosen.get(group)
        if chosen is None:
            chosen = choose_voters(group, self._zones, self._settings.max_voters)
            self._chosen[group] = chosen
        return chosen

    def _refresh(self) -> None:
        """Clear the cached choices of voters if the VMs have changed.

        They are cached because each choice hashes every VM.
        """
        listed = [m for m in self._read_view().members if m.is_listed]
        zones = {m.vm: m.availability_zone for m in self._list_eligible(listed)}
        if zones != self._zones:
            self._zones = zones
            self._chosen.clear()

    def _list_eligible(self, listed: list[Member]) -> list[Member]:
        if len(listed) <= self._settings.max_voters:
            return listed
        return [m for m in listed if m.state is not MemberState.DEAD]


__all__ = ("VoterGroups",)
