"""What an upstream said of its rate limit."""

from __future__ import annotations

from typing import NamedTuple


class RateLimitStatement(NamedTuple):
    """What an upstream said in one response.

    :param upstream: name of the upstream
    :param incarnation: incarnation of the upstream that said so; ``""``: unknown
    :param requests_per_s: requests a second that it takes from all VMs together;
        ``None``: it names no limit any more
    :param heard_ms: uptime of this VM when a VM received the response
    """

    upstream: str
    incarnation: str
    requests_per_s: float | None
    heard_ms: float


__all__ = ("RateLimitStatement",)
