"""What is decided on a silent attempt."""

from __future__ import annotations

from enum import StrEnum


class SilenceVerdict(StrEnum):
    """Decision on a silent attempt: whether another one replaces it, or why not.

    ``REPLACE``: another attempt is queued. The silent one runs until that one
    writes. ``NO_PATH``: this VM does not reach the upstreams; another VM may.
    ``BACKLOG``: the prefill backlog explains the silence. ``NO_RETRY``: the request may
    not be retried. ``NO_OTHER``: there is no other upstream for it. ``HELD``: its retry
    would have to wait for the outcome of this attempt. ``RATE_LIMITED``: no other
    upstream takes it in time, as they limit their rates. ``SUSPECTED``: it has crashed
    too many upstreams.
    """

    REPLACE = "left"
    NO_PATH = "no_path"
    BACKLOG = "backlog"
    NO_RETRY = "no_retry"
    NO_OTHER = "no_other"
    HELD = "held"
    RATE_LIMITED = "rate_limited"
    SUSPECTED = "suspected"


__all__ = ("SilenceVerdict",)
