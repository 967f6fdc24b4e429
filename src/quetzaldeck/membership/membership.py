"""Tracks which entry VMs exist, as one agent sees them. No I/O.

The platform's list names the VMs that should exist, but it lags behind. Messages
from peers show which VMs are running, but none arrive from live VMs behind a
partition. So both are needed to declare a VM dead:

* a VM that answers a probe neither directly nor through relays is suspected at once
  and no longer counts as live;
* a suspected VM is confirmed dead after ``confirm_ms`` if the list does not name
  it, and after ``confirm_listed_ms`` if it does;
* many members suspected at the same time are considered a partition: none of them is
  confirmed by silence alone, and none at all if they are half of the members or
  more;
* a VM that has announced that it is leaving and stops answering is dead at once;
* a VM dead for ``forget_ms`` and not on the list is forgotten.

Load pattern: each agent probes one peer per interval and passes on a bounded number
of updates, so the traffic of a node does not grow with the fleet. With all-to-all
heartbeats each of 410 nodes would send 409 messages per interval.

Reasons for the defaults: with one probe per second by each agent, some peer probes a
dead VM within about a second. ``confirm_ms`` (10 s) is ten times the time in which a
live VM learns from some peer that it is suspected, and refutes the suspicion.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.membership.confirmation import (
    is_confirmation_due,
    is_confirmation_withheld,
)
from quetzaldeck.membership.record import MemberRecord, build_listed_record
from quetzaldeck.membership.update import MemberUpdate, is_newer
from quetzaldeck.membership.update_selection import choose_updates
from quetzaldeck.membership.view import Member, MembershipView, MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from quetzaldeck.clock import Clock
    from quetzaldeck.directory import VmEntry
    from quetzaldeck.membership.settings import MembershipSettings

N_PROBES_PER_DEAD = 5


class Membership:
    """Combines the platform's list with the updates of peers.

    :param own_update: describes this agent: VM, new incarnation, address and zone
    """

    def __init__(
        self,
        own_update: MemberUpdate,
        *,
        clock: Clock,
        random_state: random.Random,
        settings: MembershipSettings,
    ) -> None:
        self._own_update = own_update
        self._clock = clock
        self._random = random_state
        self._settings = settings
        self._records: dict[str, MemberRecord] = {}
        self._is_listed = False
        self._list_read_ms: float | None = None
        self._rotation: list[str] = []
        self._n_probes = 0
        self.n_refuted = 0
        self.n_confirmed = 0
        self.n_withheld = 0

    @property
    def own_update(self) -> MemberUpdate:
        """:returns: the update in which this agent describes itself"""
        return self._own_update

    @property
    def n_known(self) -> int:
        """:returns: number of known members, this VM included"""
        return len(self._records) + 1

    @property
    def view(self) -> MembershipView:
        """:returns: a snapshot of the members"""
        now_ms = self._clock.now_ms()
        own_update = self._own_update
        own = Member(
            own_update.vm,
            own_update.incarnation,
            own_update.address,
            own_update.availability_zone,
            own_update.state,
            now_ms,
            self._is_listed,
        )
        others = (record.to_member() for record in self._records.values())
        members = tuple(sorted((own, *others), key=lambda member: member.vm))
        return MembershipView(
            own_update.vm, own_update.incarnation, members, self._list_read_ms
        )

    def set_address(self, address: str) -> None:
        """Set the base URL at which peers reach this agent."""
        self._own_update = self._own_update._replace(address=address)

    def find(self, vm: str) -> Member | None:
        """:returns: the member ``vm``, ``None`` if it is unknown"""
        record = self._records.get(vm)
        return None if record is None else record.to_member()

    def apply_list(self, entries: Iterable[VmEntry]) -> None:
        """Apply the platform's list of entry VMs, as just read."""
        now_ms = self._clock.now_ms()
        self._list_read_ms = now_ms
        listed = {entry.vm: entry for entry in entries}
        self._is_listed = listed.pop(self._own_update.vm, None) is not None
        for vm, entry in listed.items():
            if vm not in self._records:
                self._records[vm] = build_listed_record(entry, now_ms)
        for vm, record in self._records.items():
            record.is_listed = vm in listed
            if record.is_listed:
                record.unlisted_ms = None
            elif record.unlisted_ms is None:
                record.unlisted_ms = now_ms
            if vm in listed and not record.update.incarnation:
                address = listed[vm].address
                record.update = record.update._replace(address=address)

    def note_message(
        self, vm: str, incarnation: str, *, is_answer: bool = False
    ) -> None:
        """Record an authenticated message received directly from a peer.

        :param is_answer: whether it answers a message of this agent. An answer always
            comes from the current incarnation; other messages may arrive late and
            come from a former one
        """
        record = self._records.get(vm)
        if record is None or (
            incarnation in record.former_incarnations and not is_answer
        ):
            return
        now_ms = self._clock.now_ms()
        update = record.update
        if incarnation != update.incarnation:
            update = update._replace(
                incarnation=incarnation,
                generation=update.generation + 1,
                state_version=0,
            )
            record.replace_update(update._replace(state=MemberState.LIVE), now_ms)
        elif update.state in (MemberState.SUSPECTED, MemberState.DEAD):
            state = MemberState.LEAVING if record.has_left else MemberState.LIVE
            record.replace_update(update._replace(state=state), now_ms)
        record.last_message_ms = now_ms

    def merge(self, updates: Iterable[MemberUpdate]) -> None:
        """Merge updates that a peer passed on."""
        for update in updates:
            if update.vm == self._own_update.vm:
                self._refute(update)
            else:
                self._merge_one(update)

    def _merge_one(self, update: MemberUpdate) -> None:
        now_ms = self._clock.now_ms()
        record = self._records.get(update.vm)
        if record is None:
            if update.state is not MemberState.DEAD:
                self._records[update.vm] = MemberRecord(update, now_ms)
            return
        if update.incarnation in record.former_incarnations or not update.incarnation:
            return
        if is_newer(update, record.update):
            record.replace_update(update, now_ms)

    def _refute(self, update: MemberUpdate) -> None:
        own_update = self._own_update
        if update.incarnation != own_update.incarnation:
            # The update is about another incarnation of this VM. The running one is
            # newer, even if its wall clock gave it the lower generation.
            if update.generation >= own_update.generation:
                self._own_update = own_update._replace(generation=update.generation + 1)
                self.n_refuted += 1
            return
        if update.generation > own_update.generation:
            # A peer received a message of this incarnation before any update about it
            # and guessed its generation. Later updates must not rank below the guess.
            own_update = own_update._replace(generation=update.generation)
            self._own_update = own_update
        is_reported_failed = update.state in (MemberState.SUSPECTED, MemberState.DEAD)
        if is_reported_failed and update.state_version >= own_update.state_version:
            self._own_update = own_update._replace(
                state_version=update.state_version + 1
            )
            self.n_refuted += 1

    def note_probe_failure(self, vm: str) -> None:
        """Record that a VM answered a probe neither directly nor through relays."""
        record = self._records.get(vm)
        if record is None:
            return
        next_states = {
            MemberState.LIVE: MemberState.SUSPECTED,
            MemberState.LEAVING: MemberState.DEAD,
        }
        state = next_states.get(record.state)
        if state is not None:
            record.replace_update(
                record.update._replace(state=state), self._clock.now_ms()
            )

    def leave(self) -> None:
        """Mark this VM as leaving in all further messages."""
        state = MemberState.LEAVING
        self._own_update = self._own_update._replace(
            state=state, state_version=self._own_update.state_version + 1
        )

    def tick(self) -> None:
        """Confirm members suspected for long enough; forget those dead for long."""
        now_ms = self._clock.now_ms()
        for record in self._records.values():
            if record.state is MemberState.SUSPECTED:
                self._confirm(record, now_ms)
        forgotten = [
            vm
            for vm, record in self._records.items()
            if record.state is MemberState.DEAD
            and not record.is_listed
            and now_ms - record.since_ms >= self._settings.forget_ms
        ]
        for vm in forgotten:
            del self._records[vm]

    def _confirm(self, record: MemberRecord, now_ms: float) -> None:
        if not is_confirmation_due(record, self._list_read_ms, now_ms, self._settings):
            return
        if is_confirmation_withheld(
            record, self._records.values(), now_ms, self._settings
        ):
            self.n_withheld += 1
            return
        self.n_confirmed += 1
        record.replace_update(record.update._replace(state=MemberState.DEAD), now_ms)

    def choose_probe(self) -> Member | None:
        """:returns: the next VM to probe; each one is probed once per rotation

        Every ``N_PROBES_PER_DEAD``-th probe goes to a dead VM if there is one: after
        a partition has healed, each side takes the other for dead, and without these
        probes they would never contact each other again.
        """
        self._n_probes += 1
        if self._n_probes % N_PROBES_PER_DEAD == 0:
            dead = self._list_vms(MemberState.DEAD)
            if dead:
                return self._records[self._random.choice(dead)].to_member()
        while True:
            if not self._rotation:
                self._rotation = self._list_vms(
                    MemberState.LIVE, MemberState.SUSPECTED, MemberState.LEAVING
                )
                self._random.shuffle(self._rotation)
                if not self._rotation:
                    return None
            record = self._records.get(self._rotation.pop())
            if record is not None:
                return record.to_member()

    def choose_live(self, n_members: int, *, exclude: str = "") -> tuple[Member, ...]:
        """:returns: up to ``n_members`` random live members other than ``exclude``"""
        live = [vm for vm in self._list_vms(MemberState.LIVE) if vm != exclude]
        chosen = self._random.sample(live, min(n_members, len(live)))
        return tuple(self._records[vm].to_member() for vm in chosen)

    def _list_vms(self, *states: MemberState) -> list[str]:
        return [
            vm
            for vm, record in self._records.items()
            if record.state in states and record.update.address
        ]

    def take_updates(self, recipient: str) -> tuple[MemberUpdate, ...]:
        """:returns: updates to send to ``recipient``, ``max_updates`` at most

        If this agent does not believe the recipient to be live, its update about the
        recipient is added beyond that limit, so that the recipient can refute it.
        """
        records = [
            record
            for vm, record in self._records.items()
            if vm != recipient and record.update.incarnation
        ]
        updates = choose_updates(
            records, self.n_known, self._settings.max_updates, self._random
        )
        recipient_record = self._records.get(recipient)
        if (
            recipient_record is not None
            and recipient_record.state is not MemberState.LIVE
        ):
            updates.append(recipient_record.update)
        return tuple(updates)

    def list_updates(self) -> tuple[MemberUpdate, ...]:
        """:returns: the updates of all members, for an agent that has just started"""
        return tuple(
            record.update
            for record in self._records.values()
            if record.update.incarnation
        )


__all__ = ("Membership",)
