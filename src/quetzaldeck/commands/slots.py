"""Time slots: which VM may send an order at what time. No I/O.

Load pattern: commanders that share no state roll a new model version out to every
engine, from a weight store that allows a limited number of loads per minute. Without
slots each commander would start all its loads at once, and two commanders could
unload the last two replicas of a model at the same time.

Time is divided into slots, one for each load that the store allows. The wall clock
gives every commander the number of the current slot, and a hash of the number selects
its owner. While all VMs know the same members, each slot has exactly one owner:

* the hash first selects one of the members that are not dead, suspected ones included.
  If that member is out of contact, the slot belongs to the other side of a partition;
  so the sides share the rate, rather than each of them using all of it;
* of the VMs in contact, one that has announced that it needs a slot becomes the owner,
  so that no slot is wasted while only one commander has loads to start.

Orders are sent in the middle half of a slot only, so two orders never fall into the
same slot as long as clocks differ by less than a quarter of a slot.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.membership import MemberState, choose_owner

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzaldeck.membership import MembershipView

MS_PER_MINUTE = 60_000.0
GUARD_FRACTION = 0.25
"""Part of a slot at its start, and again at its end, in which no order is sent."""


class SlotPlan:
    """Assigns slots of equal length to VMs.

    :param loads_per_minute: limit of the weight store for the whole fleet
    """

    def __init__(self, loads_per_minute: float) -> None:
        self._slot_ms = MS_PER_MINUTE / loads_per_minute

    def find_usable_slot(self, wall_ms: float) -> int | None:
        """:returns: number of the current slot, ``None`` close to its start or end"""
        number, offset_ms = divmod(wall_ms, self._slot_ms)
        guard_ms = GUARD_FRACTION * self._slot_ms
        if guard_ms <= offset_ms < self._slot_ms - guard_ms:
            return int(number)
        return None

    def is_owner(
        self, number: int, view: MembershipView, needing_slot: Collection[str]
    ) -> bool:
        """:returns: whether this VM owns the slot

        :param needing_slot: VMs that need a slot; this VM counts as one in any case
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
