"""Records: small facts that each VM publishes to all others by gossip."""

from __future__ import annotations

from typing import Any, NamedTuple


class Record(NamedTuple):
    """A record as sent between agents.

    :param kind: kind of fact, e.g. ``usage`` or ``crash``
    :param key: what the fact is about, e.g. a customer
    :param vm: VM that owns the record; no other VM changes it
    :param incarnation: incarnation of the owner's agent
    :param sequence: counter of that agent; a higher one replaces a lower one
    :param remaining_ms: time left until the record expires
    :param is_urgent: whether to pass it on at once, not with the next probe
    :param value: JSON value; ``None`` withdraws the record
    """

    kind: str
    key: str
    vm: str
    incarnation: str
    sequence: int
    remaining_ms: int
    is_urgent: bool
    value: Any


class RecordDraft(NamedTuple):
    """A record to be published by its owner; see :class:`Record` for the fields.

    :param ttl_ms: time after which it expires, unless it is put again
    """

    kind: str
    key: str
    value: Any
    ttl_ms: int
    is_urgent: bool = False


__all__ = ("Record", "RecordDraft")
