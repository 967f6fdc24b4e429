"""Messages between the gateway and the agent of one VM about claims."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple

from quetzaldeck.claims.claim_tracker import KeptAnswer
from quetzaldeck.outcomes import Failure


class ClaimOrder(NamedTuple):
    """The gateway asks for the right to run a call once.

    :param order_id: chosen by the gateway, so that it can end an order whose
        answer it never received
    :param body_digest: digest of method, path and body
    :param timeout_ms: time left until the call's deadline
    """

    order_id: str
    customer: str
    key: str
    body_digest: str
    timeout_ms: float


class ClaimVerdict(StrEnum):
    """What became of an order."""

    GRANTED = "granted"
    ANSWERED = "answered"
    REFUSED = "refused"


class ClaimDecision(NamedTuple):
    """The agent's answer.

    :param lease_ms: dispatch is allowed for this long, counted from the moment
        before the order was sent; set if it was granted
    :param answer: the answer of the VM that ran the call
    :param failure: what the caller is told if it was refused
    """

    verdict: ClaimVerdict
    lease_ms: float = 0.0
    answer: KeptAnswer | None = None
    failure: Failure | None = None


class ClaimEnd(NamedTuple):
    """The gateway is done with an order.

    :param has_run: whether any byte of the call may have reached an upstream
    """

    order_id: str
    has_run: bool
    answer: KeptAnswer | None = None


__all__ = ("ClaimDecision", "ClaimEnd", "ClaimOrder", "ClaimVerdict")
