"""Which entry VMs there are, as one agent sees it. No I/O.

The platform's list says which VMs should exist, but late; messages from peers say
which do exist, but a partition silences live ones. Neither alone declares a VM
dead:

* a VM that does not answer a probe, neither directly nor through relays, is
  suspected and no longer counted as live, at once;
* suspected for ``confirm_ms`` and off the list it is dead; while the list still
  names it, only after ``confirm_listed_ms``;
* while many members are suspected together this is taken for a partition: none of
  them is confirmed by silence alone, and none at all if they are the majority;
* a VM that said it is leaving and no longer answers is dead at once;
* dead for ``forget_ms`` and off the list it is forgotten.

Load pattern: each agent probes one peer an interval and passes on a bounded number
of updates, so the traffic of a node does not grow with the fleet. Without it
(all-to-all heartbeats) 410 nodes cost each of them 409 messages an interval.

Grounds for the figures: a probe a second finds a dead VM in about a second, as
some peer probes it; ten seconds of suspicion are ten times the time in which a
live VM hears of its suspicion from any peer and takes it back.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.membership.confirmation import is_due, is_withheld
from quetzaldeck.membership.news import choose_updates
from quetzaldeck.membership.record import MemberRecord, build_unheard
from quetzaldeck.membership.update import MemberUpdate, is_newer
from quetzaldeck.membership.view import Member, MembershipView, MemberState

if TYPE_CHECKING:
    import random
    from collections.abc import Iterable

    from quetzaldeck.clock import Clock
    from quetzaldeck.directory import VmEntry
    from quetzaldeck.membership.settings import MembershipSettings

N_PROBES_PER_DEAD = 5


class Membership:
    """Joins the platform's list with what peers say.

    :param own_update: this agent: its VM, a fresh incarnation, its address and zone
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
        """:returns: what this agent says of itself"""
        return self._own_update

    @property
    def n_known(self) -> int:
        """:returns: members known, this VM included"""
        return len(self._records) + 1

    @property
    def view(self) -> MembershipView:
        """:returns: the members as of now"""
        now_ms = self._clock.now_ms()
        me = self._own_update
        own = Member(
            me.vm,
            me.incarnation,
            me.address,
            me.availability_zone,
            me.state,
            now_ms,
            self._is_listed,
        )
        others = (record.to_member() for record in self._records.values())
        members = tuple(sorted((own, *others), key=lambda member: member.vm))
        return MembershipView(me.vm, me.incarnation, members, self._list_read_ms)

    def set_address(self, address: str) -> None:
        """Say at which base URL peers reach this agent."""
        self._own_update = self._own_update._replace(address=address)

    def find(self, vm: str) -> Member | None:
        """:returns: what is believed of ``vm``, ``None`` if nothing"""
        record = self._records.get(vm)
        return None if record is None else record.to_member()

    def apply_list(self, entries: Iterable[VmEntry]) -> None:
        """Take the platform's list of entry VMs, as just read."""
        now_ms = self._clock.now_ms()
        self._list_read_ms = now_ms
        listed = {entry.vm: entry for entry in entries}
        self._is_listed = listed.pop(self._own_update.vm, None) is not None
        for vm, entry in listed.items():
            if vm not in self._records:
                self._records[vm] = build_unheard(entry, now_ms)
        for vm, record in self._records.items():
            record.is_listed = vm in listed
            if record.is_listed:
                record.unlisted_ms = None
            elif record.unlisted_ms is None:
                record.unlisted_ms = now_ms
            if vm in listed and not record.news.incarnation:
                address = listed[vm].address
                record.news = record.news._replace(address=address)

    def note_message(
        self, vm: str, incarnation: str, *, is_answer: bool = False
    ) -> None:
        """Note an authentic message that came directly from a peer.

        :param is_answer: whether it answers a message of this agent. It is then of
            the start that runs now; a message that came in by itself may be late
        """
        record = self._records.get(vm)
        if record is None or (incarnation in record.former and not is_answer):
            return
        now_ms = self._clock.now_ms()
        news = record.news
        if incarnation != news.incarnation:
            news = news._replace(
                incarnation=incarnation, generation=news.generation + 1, state_version=0
            )
            record.take(news._replace(state=MemberState.LIVE), now_ms)
        elif news.state in (MemberState.SUSPECTED, MemberState.DEAD):
            state = MemberState.LEAVING if record.has_left else MemberState.LIVE
            record.take(news._replace(state=state), now_ms)
        record.last_message_ms = now_ms

    def merge(self, updates: Iterable[MemberUpdate]) -> None:
        """Take news that a peer passed on."""
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
        if update.incarnation in record.former or not update.incarnation:
            return
        if is_newer(update, record.news):
            record.take(update, now_ms)

    def _refute(self, update: MemberUpdate) -> None:
        me = self._own_update
        if update.incarnation != me.incarnation:
            # Another start of this VM: this one is the current one, whatever the
            # clocks of the two starts said.
            if update.generation >= me.generation:
                self._own_update = me._replace(generation=update.generation + 1)
                self.n_refuted += 1
            return
        if update.generation > me.generation:
            # A peer that heard this start before any news of it has guessed its
            # generation; what is said of it from now on must outrank the guess.
            me = me._replace(generation=update.generation)
            self._own_update = me
        is_rumour = update.state in (MemberState.SUSPECTED, MemberState.DEAD)
        if is_rumour and update.state_version >= me.state_version:
            self._own_update = me._replace(state_version=update.state_version + 1)
            self.n_refuted += 1

    def note_probe_failure(self, vm: str) -> None:
        """Note that a VM answered neither a probe nor a relay's probe."""
        record = self._records.get(vm)
        if record is None:
            return
        after = {
            MemberState.LIVE: MemberState.SUSPECTED,
            MemberState.LEAVING: MemberState.DEAD,
        }
        state = after.get(record.state)
        if state is not None:
            record.take(record.news._replace(state=state), self._clock.now_ms())

    def leave(self) -> None:
        """Say from now on that this VM is leaving."""
        state = MemberState.LEAVING
        self._own_update = self._own_update._replace(
            state=state, state_version=self._own_update.state_version + 1
        )

    def tick(self) -> None:
        """Confirm and forget what is due."""
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
        if not is_due(record, self._list_read_ms, now_ms, self._settings):
            return
        if is_withheld(record, self._records.values(), now_ms, self._settings):
            self.n_withheld += 1
            return
        self.n_confirmed += 1
        record.take(record.news._replace(state=MemberState.DEAD), now_ms)

    def choose_probe(self) -> Member | None:
        """:returns: the next VM to probe; each is met once in a rotation

        Dead ones have their turn too: both sides of a partition that has healed
        hold the other for dead, and would else never speak again.
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
            if record.state in states and record.news.address
        ]

    def take_updates(self, recipient: str) -> tuple[MemberUpdate, ...]:
        """:returns: what to tell ``recipient``, within the bound

        The recipient also hears what is believed of itself, and can take it back.
        """
        records = [
            record
            for vm, record in self._records.items()
            if vm != recipient and record.news.incarnation
        ]
        updates = choose_updates(
            records, self.n_known, self._settings.max_updates, self._random
        )
        about = self._records.get(recipient)
        if about is not None and about.state is not MemberState.LIVE:
            updates.append(about.news)
        return tuple(updates)

    def list_updates(self) -> tuple[MemberUpdate, ...]:
        """:returns: all that is known, for an agent that has just started"""
        return tuple(
            record.news for record in self._records.values() if record.news.incarnation
        )


__all__ = ("Membership",)
