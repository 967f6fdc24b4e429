"""Tokens that the other VMs dispatched for each customer."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.fair_shares.dispatched_tokens import FORGET_MS, MAX_SUMS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.decisions.fair_shares.share_sum import ShareSum

RECENT_MS = 10_000.0
"""Service older than this does not count: a customer owes nothing for it."""

EXPIRY_MS = 2 * FORGET_MS
"""Time after which the sums of a VM that announces nothing are dropped. It exceeds
``FORGET_MS``, so that a VM which still adds to a sum is never taken for a new one."""

MAX_VMS = 1_024
"""Limit on the incarnations whose sums are kept."""


class _Heard(NamedTuple):
    n_tokens: int
    heard_ms: float


class FleetShares:
    """Latest sums of the other VMs, by incarnation, target and customer.

    The sums are cumulative, so an update makes up for those lost before it. A VM that
    restarts has another incarnation, whose sums begin at 0.

    :param now_ms: monotonic time at which this VM began to receive updates
    """

    def __init__(self, now_ms: float) -> None:
        self._heard: dict[str, dict[tuple[str, str], _Heard]] = {}
        self._started_ms = now_ms
        self._expired_ms = now_ms

    def apply(self, vm: str, sums: Iterable[ShareSum], now_ms: float) -> list[ShareSum]:
        """Apply the sums of another VM.

        :param vm: its incarnation
        :returns: what was dispatched since the sums applied before, as far as recent
        """
        self._expire(now_ms)
        if vm not in self._heard and len(self._heard) >= MAX_VMS:
            return []
        heard = self._heard.setdefault(vm, {})
        increases = []
        for item in sums:
            key = (item.target, item.customer)
            if key not in heard and len(heard) >= MAX_SUMS:
                del heard[next(iter(heard))]
            n_tokens = self._increase(heard.pop(key, None), item.n_tokens, now_ms)
            heard[key] = _Heard(item.n_tokens, now_ms)
            if n_tokens > 0:
                increases.append(item._replace(n_tokens=n_tokens))
        return increases

    def _increase(self, before: _Heard | None, n_tokens: int, now_ms: float) -> int:
        if before is None:
            # The history of VMs that were running before this one is unknown.
            is_history = now_ms - self._started_ms < FORGET_MS
            return 0 if is_history else n_tokens
        if n_tokens < before.n_tokens:
            return n_tokens  # The sender has dropped its sum and counts from 0.
        # After a partition, the increase covers the whole time without updates.
        elapsed_ms = max(RECENT_MS, now_ms - before.heard_ms)
        return int((n_tokens - before.n_tokens) * RECENT_MS / elapsed_ms)

    def _expire(self, now_ms: float) -> None:
        if now_ms - self._expired_ms < RECENT_MS:
            return
        self._expired_ms = now_ms
        for vm, heard in tuple(self._heard.items()):
            if all(now_ms - item.heard_ms > EXPIRY_MS for item in heard.values()):
                del self._heard[vm]


__all__ = ("EXPIRY_MS", "MAX_VMS", "RECENT_MS", "FleetShares")
