"""Parameters of the retry policy and the reasons for their defaults."""

from __future__ import annotations

from typing import NamedTuple


class RetryBounds(NamedTuple):
    """Limits of retries.

    :param max_attempts: maximum number of attempts of one request that may have run
    :param ratio: maximum ratio of retried to admitted work. When one of three zones
        fails, a third of the work in flight is lost; with requests of up to a minute,
        long prompts included, that is under a quarter of the work that the window
        admits.
    :param min_retry_tokens: retried work that is always allowed, also on an idle VM
    :param half_life_ms: time after which admitted and retried work count half
    :param base_delay_ms: longest first backoff; its mean is half of that
    :param max_delay_ms: longest backoff
    :param reservation_delay_ms: longest backoff before a reservation is retried
    """

    max_attempts: int = 3
    ratio: float = 0.25
    min_retry_tokens: float = 50_000.0
    half_life_ms: float = 60_000.0
    base_delay_ms: float = 50.0
    max_delay_ms: float = 2_000.0
    reservation_delay_ms: float = 500.0


__all__ = ("RetryBounds",)
