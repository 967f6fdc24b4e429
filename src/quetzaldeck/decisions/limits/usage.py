"""Usage of a customer's limits at one VM."""

from __future__ import annotations

from typing import NamedTuple


class Usage(NamedTuple):
    """Current usage of a customer's limits; other VMs get it as an array.

    :param n_requests: admitted requests that have not ended
    :param n_tokens: their prompt and output tokens
    :param tokens_per_s: average rate of recently admitted tokens
    """

    n_requests: int = 0
    n_tokens: int = 0
    tokens_per_s: float = 0.0


class UsageUpdate(NamedTuple):
    """Usage of one customer at a VM, to be sent to the other VMs."""

    customer: str
    usage: Usage


__all__ = ("Usage", "UsageUpdate")
