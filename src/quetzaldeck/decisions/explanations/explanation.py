"""What would become of a request, and why."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.decisions.placement.exclusion import Exclusion
from quetzaldeck.outcomes import Failure


class Outcome(StrEnum):
    """What would become of a request."""

    STARTS = "starts"
    WAITS = "waits"
    REFUSED = "refused"


class WaitCause(StrEnum):
    """Why a request would wait."""

    QUEUE = "queue"
    """Other requests are queued; those that are due earlier go first."""
    RATE_LIMIT = "rate_limit"
    """The chosen upstream takes it later."""
    HEAD_OF_LINE = "head_of_line"
    """Long prompts that are being prefilled have to end first."""
    PATH_LOST = "path_lost"
    """This VM reaches no upstream of the service at present."""
    REST = "rest"
    """All permitted upstreams have asked this VM for rest."""
    CAPACITY = "capacity"
    """No permitted upstream has capacity."""


class UpstreamRole(StrEnum):
    """What an upstream would do for the request."""

    ANSWERS = "answers"
    HELPS = "helps"
    HOLDS_PART = "holds_part"
    NONE = ""


class UpstreamSummary(NamedTuple):
    """One upstream of the service, as the VM sees it.

    :param excluded_by: the filter that excludes it; ``None``: the policy may choose it
    :param health: its health, judged by this VM
    :param n_requests: requests counted against its slots
    :param prefill_backlog_ms: time to prefill the prompts of all VMs
    :param load_age_ms: age of the newest load received; ``None``: none received
    :param rate_limit_wait_ms: time until its rate limit permits a request; ``None``: it
        has no limit
    :param closed_ms: time until it may get something new; ``None``: it may now, or when
        is not known
    :param cost: estimated by the policy, without jitter; ``None``: it estimates none
    """

    name: str
    availability_zone: str
    role: UpstreamRole
    excluded_by: Exclusion | None
    health: str
    n_requests: int
    n_slots: int
    n_kv_tokens_used: int
    n_kv_tokens: int
    prefill_backlog_ms: float
    load_age_ms: float | None
    rate_limit_wait_ms: float | None
    closed_ms: float | None
    cost: float | None


class Explanation(NamedTuple):
    """What would become of a request that arrives now.

    :param rank: priority at the engine; ``None`` if no upstream is chosen
    :param upstreams: one name, or the members of a group; the last one answers
    :param helpers: engines that would prefill parts of the prompt
    :param is_probe: whether the request would probe an ejected upstream
    :param wait_cause: why it would wait; ``None`` if it would not
    :param predicted_wait_ms: predicted time in the queue; ``None``: not predicted
    :param n_queued: requests that wait at this VM
    :param failure: the refusal, if it would be refused
    :param candidates: all upstreams of the service
    """

    outcome: Outcome
    service: str
    rank: int | None
    upstreams: tuple[str, ...]
    helpers: tuple[str, ...]
    is_probe: bool
    wait_cause: WaitCause | None
    predicted_wait_ms: float | None
    n_queued: int
    failure: Failure | None
    candidates: tuple[UpstreamSummary, ...]


__all__ = (
    "Explanation",
    "Outcome",
    "UpstreamRole",
    "UpstreamSummary",
    "WaitCause",
)
