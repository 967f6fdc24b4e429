"""Request and resource ids that carry the deadline of their owner."""

from __future__ import annotations

import re

from quetzaldeck.clock.clock import MS_PER_SECOND

EXPIRY_MARKER = "-x"
_EXPIRY = re.compile(rf"{EXPIRY_MARKER}([0-9a-f]{{6,12}})")


def mark_expiry(request_id: str, deadline_wall_ms: float) -> str:
    """Append the deadline to a request id.

    Ids of attempts, reservations and exports start with the request id, and an engine
    lists them unchanged. A reader of that list knows the deadline of each without
    asking the owner, and the protocol needs no extra field.

    :returns: ``request_id`` and the deadline in hexadecimal seconds, rounded up
    """
    seconds = int(deadline_wall_ms // MS_PER_SECOND) + 1
    return f"{request_id}{EXPIRY_MARKER}{seconds:x}"


def read_expiry_ms(resource_id: str) -> float | None:
    """:returns: wall-clock deadline in the id, ``None`` if there is none in it"""
    match = _EXPIRY.search(resource_id)
    return None if match is None else float(int(match.group(1), 16) * MS_PER_SECOND)


__all__ = ("mark_expiry", "read_expiry_ms")
