"""Messages about claims between the gateway and the agent of one VM."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.claims.claim_tracker import KeptAnswer
from quetzaldeck.outcomes import Failure


class ClaimRequest(NamedTuple):
    """Asks the agent for the exclusive right to run a call once.

    :param claim_request_id: chosen by the gateway, so that it can end a claim request
        whose answer it never received
    :param body_digest: digest of method, path and body
    :param timeout_ms: time left until the call's deadline
    """

    claim_request_id: str
    customer: str
    key: str
    body_digest: str
    timeout_ms: float


class ClaimVerdict(StrEnum):
    """Outcome of a claim request."""

    GRANTED = "granted"
    ANSWERED = "answered"
    REFUSED = "refused"


class ClaimDecision(NamedTuple):
    """The agent's answer to a claim request.

    :param lease_ms: how long the call may be dispatched, counted from just before
        the claim request was sent; set if it was granted
    :param answer: the stored answer of the call, if another VM has run it
    :param failure: reported to the caller if the claim request was refused
    """

    verdict: ClaimVerdict
    lease_ms: float = 0.0
    answer: KeptAnswer | None = None
    failure: Failure | None = None


class ClaimEnd(NamedTuple):
    """Tells the agent that the gateway has finished with a claim request.

    :param has_run: whether any byte of the call may have reached an upstream
    """

    claim_request_id: str
    has_run: bool
    answer: KeptAnswer | None = None


__all__ = ("ClaimDecision", "ClaimEnd", "ClaimRequest", "ClaimVerdict")
