"""The owner of an API key."""

from __future__ import annotations

from typing import NamedTuple


class KeyOwner(NamedTuple):
    """The customer that owns an API key.

    :param priority: overrides the route's priority; ``None``: the route's applies
    """

    customer: str
    priority: int | None = None


__all__ = ("KeyOwner",)
