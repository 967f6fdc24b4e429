"""Versioned dissemination: how records and bundles reach all agents by gossip.

:class:`RecordStore` does no I/O. To publish a record, put it with a time to live and
put it again before it expires; to read, list the values of its kind. Gateways access
the store through their exchange with the agent. See docs/design/membership.md.

>>> from quetzaldeck.clock import ManualClock
>>> from quetzaldeck.dissemination import RecordDraft, RecordStore
>>> clock = ManualClock()
>>> a, b = (RecordStore(vm, f"{vm}.1", clock) for vm in "ab")
>>> a.put(RecordDraft("usage", "club", value=7, ttl_ms=1_000))
>>> new = b.merge(a.take_records(n_members=2))  # sent along with gossip
>>> b.list_values("usage", int)
(7,)
>>> clock.advance(1_000)
>>> b.list_values("usage", int)
()
"""

from __future__ import annotations

from quetzaldeck.dissemination.gossip import GossipMessage, RelayAnswer, RelayRequest
from quetzaldeck.dissemination.record import Record, RecordDraft
from quetzaldeck.dissemination.store import RecordError, RecordLimits, RecordStore

__all__ = (
    "GossipMessage",
    "Record",
    "RecordDraft",
    "RecordError",
    "RecordLimits",
    "RecordStore",
    "RelayAnswer",
    "RelayRequest",
)
