"""Membership: which entry VMs exist and which of them are live.

:class:`Membership` does no I/O: the agent passes it the platform's VM list and the
messages of its peers, and sends the updates that :meth:`Membership.take_updates`
returns. See docs/design/membership.md.

>>> import random
>>> from quetzaldeck.clock import ManualClock
>>> from quetzaldeck.membership import (
...     Membership, MembershipSettings, MemberState, MemberUpdate)
>>> def describe(vm):
...     return MemberUpdate(vm, f"{vm}.1", 1, 0, MemberState.LIVE, f"http://{vm}", "z")
>>> clock = ManualClock()
>>> members = Membership(
...     describe("a"),
...     clock=clock,
...     random_state=random.Random(0),
...     settings=MembershipSettings(),
... )
>>> members.merge([describe("b"), describe("c")])  # updates in a message from a peer
>>> members.choose_probe().vm in ("b", "c")
True
>>> members.note_probe_failure("b")  # no answer, direct or through relays
>>> [member.vm for member in members.view.list_live()]
['a', 'c']
>>> members.note_message("b", "b.1")  # an authentic message from b itself
>>> [member.vm for member in members.view.list_live()]
['a', 'b', 'c']
"""

from __future__ import annotations

from quetzaldeck.membership.membership import Membership
from quetzaldeck.membership.settings import MembershipSettings
from quetzaldeck.membership.update import MemberUpdate
from quetzaldeck.membership.view import Member, MembershipView, MemberState
from quetzaldeck.rendezvous import choose_owner, rank_members

__all__ = (
    "Member",
    "MemberState",
    "MemberUpdate",
    "Membership",
    "MembershipSettings",
    "MembershipView",
    "choose_owner",
    "rank_members",
)
