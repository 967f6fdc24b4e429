"""Decisions of the scheduler, and the ends of attempts reported to it."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.decisions.group_plan import GroupPlan
from quetzaldeck.decisions.request import Request
from quetzaldeck.outcomes.failure import Failure

MAX_HELPERS = 16
"""Most helpers of one request."""


class Dispatch(NamedTuple):
    """Send a request to an upstream now.

    :param upstreams: one name, or the members of a group in canonical order
    :param attempt_id: unique id of this attempt
    :param n_attempt: 1 for the first attempt of the request
    :param rank: engine priority, 0 to 9; lower values are prefilled first
    :param plan: memory reservation to make first, if the request needs one
    :param helpers: engines that prefill prompt parts for the last of ``upstreams``
    :param backlog_ms: time that the busiest upstream or helper needs to prefill all
        prompts sent to it, this one included; 0: unknown
    :param first_token_ms: predicted time to the first token; 0: unknown
    :param max_permit_wait_ms: how long the request can wait for its turn at upstreams
        that limit their rate; 0: it is better placed elsewhere
    :param is_retrial: whether the upstream was ejected, so that it may have restarted
    :param load_age_ms: age of the latest reported load of the upstream that answers;
        ``None``: none was reported
    :param idle_wait_ms: how long the request waited while an engine was idle
    """

    request: Request
    upstreams: tuple[str, ...]
    attempt_id: str
    n_attempt: int
    rank: int = 5
    plan: GroupPlan | None = None
    helpers: tuple[str, ...] = ()
    backlog_ms: float = 0.0
    first_token_ms: float = 0.0
    max_permit_wait_ms: float = 0.0
    is_retrial: bool = False
    load_age_ms: float | None = None
    idle_wait_ms: float = 0.0


class Rejection(NamedTuple):
    """Fail a queued request without another attempt."""

    request: Request
    failure: Failure


Decision = Dispatch | Rejection


class AttemptFault(StrEnum):
    """Why an attempt failed.

    ``BROKEN`` is a lost connection, which is how a crash shows; ``FAILED`` is an error
    response, which a crashed process cannot send. ``TOO_LONG`` is a prompt with more
    tokens than estimated, which does not fit into the memory reserved for it.
    ``NO_ROOM`` is a refused memory reservation: nothing was run. ``HELPER`` is an
    engine that did not prefill its prompt part: it is unreachable, or already prefills
    parts for as many other engines as it has slots. ``RATE_LIMITED`` is a permit that
    was refused: the upstream takes no more requests now, and none was sent.
    ``EVACUATED``: the zone of the upstream was evacuated before the request was sent.
    ``RESTING``: the upstream turned the request away and wants nothing for some time,
    or had turned away another one before this one was sent.
    """

    CONNECT = "connect"
    BROKEN = "broken"
    FAILED = "failed"
    SILENT = "silent"
    NO_ROOM = "no_room"
    TOO_LONG = "too_long"
    OVERLOADED = "overloaded"
    REFUSED = "refused"
    BAD_ANSWER = "bad_answer"
    HELPER = "helper"
    RATE_LIMITED = "rate_limited"
    EVACUATED = "evacuated"
    RESTING = "resting"


class AttemptEnd(NamedTuple):
    """How an attempt ended.

    :param fault: ``None`` if the answer is complete
    :param n_output_tokens: tokens delivered to the caller by this attempt
    :param n_prompt_tokens: prompt tokens counted by the engine; 0 if unknown
    :param may_have_run: whether the upstream may have started to run it
    :param was_sent: whether the request was sent to the upstream, even if not run
    :param retry_after_ms: delay before this request may be made again, if any
    :param upstream: group member or helper that failed; ``""``: the only upstream
    :param incarnation: incarnation reported by that upstream; ``""``: none
    :param is_gone: whether nothing listens at the address of that upstream
    """

    attempt_id: str
    fault: AttemptFault | None = None
    n_output_tokens: int = 0
    n_prompt_tokens: int = 0
    may_have_run: bool = True
    was_sent: bool = True
    retry_after_ms: float | None = None
    upstream: str = ""
    incarnation: str = ""
    is_gone: bool = False

    @property
    def is_diverted(self) -> bool:
        """:returns: whether its upstream was closed to new requests before the send"""
        if self.fault is AttemptFault.RESTING:
            return not self.was_sent
        return self.fault is AttemptFault.EVACUATED


__all__ = (
    "MAX_HELPERS",
    "AttemptEnd",
    "AttemptFault",
    "Decision",
    "Dispatch",
    "Rejection",
)
