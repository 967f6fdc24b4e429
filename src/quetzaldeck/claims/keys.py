"""Idempotency keys: their identity per customer and their creation time."""

from __future__ import annotations

import hashlib
import uuid
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import random

    from quetzaldeck.clock import Clock

_DIGEST_BYTES = 16
_VERSION_WITH_TIME = 7
_TIME_SHIFT = 80
_RANDOM_A_BITS = 12
_RANDOM_B_BITS = 62


def hash_claim_key(customer: str, key: str) -> str:
    """:returns: a hash that identifies ``key`` among the keys of all customers

    Two customers may choose the same key. The length prefix keeps ``("ab", "c")`` and
    ``("a", "bc")`` distinct.
    """
    text = f"{len(customer)}:{customer}{key}"
    return hashlib.blake2b(text.encode(), digest_size=_DIGEST_BYTES).hexdigest()


def read_key_time(key: str) -> float | None:
    """:returns: wall time in ms at which a UUIDv7 was created, else ``None``"""
    try:
        parsed = uuid.UUID(key)
    except ValueError:
        return None
    if parsed.variant != uuid.RFC_4122 or parsed.version != _VERSION_WITH_TIME:
        return None
    return float(parsed.int >> _TIME_SHIFT)


def make_timed_key(clock: Clock, random_state: random.Random) -> str:
    """:returns: a UUIDv7 with the current wall time of ``clock``"""
    value = int(clock.wall_ms()) << _TIME_SHIFT
    value |= _VERSION_WITH_TIME << 76
    value |= random_state.getrandbits(_RANDOM_A_BITS) << 64
    value |= 0b10 << _RANDOM_B_BITS
    value |= random_state.getrandbits(_RANDOM_B_BITS)
    return str(uuid.UUID(int=value))


__all__ = ("hash_claim_key", "make_timed_key", "read_key_time")
