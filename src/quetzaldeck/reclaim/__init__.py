"""Releases engine memory whose owner has died.

:class:`Reclaimer` and :class:`OwnerRegistry` do no I/O: the code that embeds them lists
the allocations of an engine, queries the agents of their owners, and releases what is
proved to be orphaned. See docs/design/reclaim.md.

>>> from quetzaldeck.clock import ManualClock
>>> from quetzaldeck.reclaim import OwnerState, Reclaimer, ReclaimSettings
>>> from quetzaldeck.upstreams import Owner, RunningSequence
>>> reclaimer = Reclaimer(ManualClock(), ReclaimSettings())
>>> owner = Owner("a", "gateway.1")
>>> listed = [RunningSequence("r.1", owner, n_kv_tokens=900, age_ms=60_000)]
>>> reclaimer.list_owners_to_query(listed) == (owner,)
True
>>> reclaimer.note_owner_state(owner, OwnerState.UNKNOWN)  # may be paused
>>> reclaimer.list_releases(listed)
()
>>> reclaimer.note_owner_state(owner, OwnerState.GONE)  # confirmed by its agent
>>> [release.why for release in reclaimer.list_releases(listed)]
['owner_gone']
"""

from __future__ import annotations

from quetzaldeck.decisions.attempts.expiry import mark_expiry, read_expiry_ms
from quetzaldeck.reclaim.owners import OwnerRegistry, OwnerState
from quetzaldeck.reclaim.reclaimer import Reclaimer, Release, confirm_releases
from quetzaldeck.reclaim.settings import ReclaimSettings

__all__ = (
    "OwnerRegistry",
    "OwnerState",
    "ReclaimSettings",
    "Reclaimer",
    "Release",
    "confirm_releases",
    "mark_expiry",
    "read_expiry_ms",
)
