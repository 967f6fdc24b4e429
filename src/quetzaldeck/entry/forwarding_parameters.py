"""On which terms a request is passed on to an upstream."""

from __future__ import annotations

from typing import NamedTuple


class Helper(NamedTuple):
    """An engine that reads a part of a prompt for another one.

    :param address: IP number and port
    :param reservation: id of the memory that it set aside; ``""``: none
    """

    address: str
    reservation: str = ""


class ForwardingParameters(NamedTuple):
    """What the VM adds to a caller's request.

    :param replica_id: the only incarnation that may run it
    :param customer: ``""`` if the route needs no key
    :param remaining_ms: time in which it has to be answered
    :param rank: order among the requests at an engine; 0 goes first
    :param helpers: engines that read parts of the prompt
    :param last_event_id: event after which the stream goes on; ``None``: as the caller
        said
    """

    replica_id: str
    customer: str
    remaining_ms: float
    rank: int | None = None
    helpers: tuple[Helper, ...] = ()
    last_event_id: str | None = None


__all__ = ("ForwardingParameters", "Helper")
