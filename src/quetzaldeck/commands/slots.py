"""Which VM may start a load, or take a replica away, at what time. No I/O.

Load pattern: a new model version is rolled to every engine, from a weight store
that allows so many loads a minute, by commanders that share no state. Without
slots each commander would start its loads at once, and two of them could unload
the last two replicas of a model together.

Time is cut into slots, one for each load that the store allows. The wall clock
tells every commander the number of the slot, and a hash of the number tells whose
it is. In a fleet where all know the same members, each slot has one owner:

* the hash first picks a member among all that are not dead, suspected ones too. If
  the member is out of contact the slot belongs to the other side of a partition;
  so the sides share the rate instead of each using all of it;
* among the VMs in contact it goes to one that has announced that it needs a slot,
  so that none is left unused while one commander alone has loads to start.

An order is started in the middle of a slot only: clocks that differ by less than a
quarter of a slot never put two orders into one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.membership import MemberState, choose_owner

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzaldeck.membership import MembershipView

MS_PER_MINUTE = 60_000.0
GUARD_FRACTION = 0.25


class SlotPlan:
    """Slots of one length.

    :param loads_per_minute: of the weight store, over the whole fleet
    """

    def __init__(self, loads_per_minute: float) -> None:
        self._slot_ms = MS_PER_MINUTE / loads_per_minute

    def find_usable_slot(self, wall_ms: float) -> int | None:
        """:returns: number of the slot that may be used now, ``None`` near an edge"""
        number, offset_ms = divmod(wall_ms, self._slot_ms)
        guard_ms = GUARD_FRACTION * self._slot_ms
        if guard_ms <= offset_ms < self._slot_ms - guard_ms:
            return int(number)
        return None

    def is_owner(
        self, number: int, view: MembershipView, needing_slot: Collection[str]
    ) -> bool:
        """:returns: whether the slot is this VM's

        :param needing_slot: VMs that need a slot, this one included or not
        """
        states = {
            member.vm: member.state
            for member in view.members
            if member.state is not MemberState.DEAD
        }
        if not states:
            return False
        side_owner = choose_owner(f"side:{number}", states)
        if states[side_owner] is MemberState.SUSPECTED:
            return False
        in_contact = {
            vm for vm, state in states.items() if state is not MemberState.SUSPECTED
        }
        candidates = (set(needing_slot) | {view.vm}) & in_contact
        return choose_owner(f"slot:{number}", candidates) == view.vm


__all__ = ("SlotPlan",)
