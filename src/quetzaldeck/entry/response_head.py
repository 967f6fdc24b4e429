"""Status and headers of an upstream's response."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.outcomes import PROMISE_STATUSES


class ReplicaLoad(NamedTuple):
    """Load that a replica reports in the headers of its responses."""

    n_running: int
    n_waiting: int
    n_slots: int


class ResponseHead(NamedTuple):
    """The head of one response.

    :param call_id: id of the request that it responds to
    :param is_sealed: whether it carries the seal header that only replicas set
    :param has_not_run: whether the replica states that it did not run the request
    :param is_other_replica: whether the responding replica is not the one addressed
    :param is_encoded: whether an intermediary has changed the body's encoding
    :param load: ``None`` if the replica does not report it
    :param replica_id: the responding replica; ``""`` if it does not say
    :param faulty_address: address of the replica that failed, if it is not the one
        addressed; ``""`` otherwise
    :param rate_limit: requests a second that the replica takes from all VMs together;
        ``None`` if it names no limit
    :param cold_ms: time for which the replica stays cold; ``None`` if it does not say
    :param rest_ms: time for which the replica wants nothing from this VM; ``None`` if
        it does not turn the request away, or does not say
    :param is_leaving: whether the replica says that it is leaving
    """

    status: int
    call_id: str
    is_sealed: bool
    has_not_run: bool
    is_other_replica: bool = False
    is_encoded: bool = False
    load: ReplicaLoad | None = None
    replica_id: str = ""
    faulty_address: str = ""
    rate_limit: float | None = None
    cold_ms: float | None = None
    rest_ms: float | None = None
    is_leaving: bool = False

    @property
    def is_unfounded_promise(self) -> bool:
        """:returns: whether callers would conclude what the replica does not state"""
        return self.status in PROMISE_STATUSES and not self.has_not_run


__all__ = ("ReplicaLoad", "ResponseHead")
