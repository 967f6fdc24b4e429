"""What one VM uses of a customer's limits."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """Usage at one moment.

    :param n_requests: requests admitted and not ended
    :param n_tokens: their prompt and output tokens
    :param tokens_per_s: rate of admitted tokens lately
    """

    n_requests: int = 0
    n_tokens: int = 0
    tokens_per_s: float = 0.0


class UsageUpdate(NamedTuple):
    """What other VMs should know of a customer's usage at this VM."""

    customer: str
    usage: Usage


__all__ = ("Usage", "UsageUpdate")
