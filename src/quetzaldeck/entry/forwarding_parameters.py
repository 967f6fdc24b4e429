"""What an entry VM states to an upstream about a request that it forwards."""

from __future__ import annotations

from typing import NamedTuple


class Helper(NamedTuple):
    """An engine that prefills part of a prompt for the engine that responds.

    :param address: ``IP:PORT``
    :param reservation: id of its memory reservation; ``""`` if it has none
    """

    address: str
    reservation: str = ""


class ForwardingParameters(NamedTuple):
    """What the VM adds to the headers of a caller's request.

    :param replica_id: the only replica that may run it
    :param customer: ``""`` if the route needs no key
    :param remaining_ms: time until the deadline
    :param rank: order among the requests at an engine; 0 goes first
    :param helpers: engines that prefill parts of the prompt
    :param last_event_id: event after which to resume the stream; ``None``: forward the
        caller's header as it is
    """

    replica_id: str
    customer: str
    remaining_ms: float
    rank: int | None = None
    helpers: tuple[Helper, ...] = ()
    last_event_id: str | None = None


__all__ = ("ForwardingParameters", "Helper")
