"""Tokens dispatched for one customer."""

from __future__ import annotations

from typing import NamedTuple


class ShareSum(NamedTuple):
    """Tokens that a VM dispatched for a customer.

    :param target: label of the queue; see ``queueing.share_target``
    """

    target: str
    customer: str
    n_tokens: int


__all__ = ("ShareSum",)
