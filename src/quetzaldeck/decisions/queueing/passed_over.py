"""An older request that was not served because of its customer's share."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class ShareRule(StrEnum):
    """Why the customer of the older request had to wait.

    ``SERVED_HERE``: this VM has served it more than the other customer.
    ``SERVED_ELSEWHERE``: it would go first but for what other VMs dispatched for it.
    """

    SERVED_HERE = "served_here"
    SERVED_ELSEWHERE = "served_elsewhere"


class PassedOver(NamedTuple):
    """A request of ``customer`` that another customer's newer request overtook.

    :param request_id: the older request
    :param arrived_ms: monotonic time of its arrival
    :param served: id of the request that was served
    :param served_customer: customer of that request
    """

    target: str
    rule: ShareRule
    customer: str
    request_id: str
    arrived_ms: float
    served_customer: str
    served: str


__all__ = ("PassedOver", "ShareRule")
