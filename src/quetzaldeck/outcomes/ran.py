"""Whether a request that got no complete answer was run."""

from __future__ import annotations

from enum import StrEnum


class Ran(StrEnum):
    """What is known about the execution of a request that failed.

    ``NO`` is a guarantee: no byte of the request can have reached an upstream, or each
    one that it reached has stated that it did not run it.
    """

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


PROMISE_STATUSES = frozenset((408, 421, 429, 503))
"""HTTP statuses from which callers conclude that a request has not run and never will,
and send it again."""

__all__ = ("PROMISE_STATUSES", "Ran")
