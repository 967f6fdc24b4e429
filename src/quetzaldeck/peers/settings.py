"""Settings of the peer channel."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class PeerSettings(NamedTuple):
    """Secret keys shared by the agents of a fleet.

    A key is rotated in three steps, each rolled out to the whole fleet: add the new
    key to ``keys``, set ``key_id`` to it, remove the old key from ``keys``.
    """

    keys: Annotated[
        dict[str, str], Option("Shared secrets (text, 16 characters or more) by id.")
    ] = {}  # noqa: RUF012 - settings are never changed in place
    key_id: Annotated[
        str,
        Option("Id of the key that signs requests of this agent; empty: the first."),
    ] = ""


__all__ = ("PeerSettings",)
