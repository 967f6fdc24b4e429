"""Tokens that this VM dispatched while requests waited, and when they are announced."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.fair_shares.share_sum import ShareSum

MIN_INTERVAL_MS = 500.0
"""Minimum time between two announcements of a VM."""

FLEET_SUMS_PER_S = 32.0
"""Sums that all VMs together announce per second. Each VM receives all of them; at 93
bytes or less each they cost a VM some 3 KB/s, however many VMs queue."""

MAX_SUMS_PER_ANNOUNCEMENT = 8

MAX_SUMS = 256
"""Limit on the sums that a VM keeps; the one that changed least recently is dropped."""

FORGET_MS = 20_000.0
"""Time without an increase after which a sum is dropped; the next one begins at 0."""


class _Sum(NamedTuple):
    n_tokens: int
    n_announced: int
    changed_ms: float

    @property
    def n_unannounced(self) -> int:
        return self.n_tokens - self.n_announced


class DispatchedTokens:
    """Cumulative tokens by target and customer, for one incarnation of this VM.

    Load pattern: all of 64 to 410 VMs queue at the same moment, and every announcement
    reaches every VM. So the rate of announcements of a VM falls with the size of the
    fleet, and the sums with most tokens that are not announced yet go first: those of
    the customers that receive most. The others follow, as the sums are cumulative.
    """

    def __init__(self) -> None:
        self._sums: dict[tuple[str, str], _Sum] = {}
        self._announced_ms = float("-inf")

    def note_dispatched(
        self, target: str, customer: str, n_tokens: int, now_ms: float
    ) -> None:
        """Count the tokens of a request that was dispatched while requests waited."""
        key = (target, customer)
        # Reinserted, so that the order of the keys is that of the latest changes.
        before = self._sums.pop(key, _NONE)
        if len(self._sums) >= MAX_SUMS:
            del self._sums[next(iter(self._sums))]
        self._sums[key] = before._replace(
            n_tokens=before.n_tokens + n_tokens, changed_ms=now_ms
        )

    def take_changes(self, now_ms: float, n_vms: int) -> list[ShareSum]:
        """Select the sums to announce now.

        :param n_vms: number of VMs that announce sums to each other
        :returns: changed sums, empty if the last announcement was too recent
        """
        n_vms = max(1, n_vms)
        n_sums = int(FLEET_SUMS_PER_S * MIN_INTERVAL_MS / 1_000 / n_vms)
        n_sums = min(MAX_SUMS_PER_ANNOUNCEMENT, max(1, n_sums))
        interval_ms = max(MIN_INTERVAL_MS, 1_000 * n_vms * n_sums / FLEET_SUMS_PER_S)
        if not self._sums or now_ms - self._announced_ms < interval_ms:
            return []
        self._forget(now_ms)
        changed = [key for key, item in self._sums.items() if item.n_unannounced]
        if not changed:
            return []
        changed.sort(key=lambda key: self._sums[key].n_unannounced, reverse=True)
        self._announced_ms = now_ms
        return [self._announce(key) for key in changed[:n_sums]]

    def _announce(self, key: tuple[str, str]) -> ShareSum:
        n_tokens = self._sums[key].n_tokens
        self._sums[key] = self._sums[key]._replace(n_announced=n_tokens)
        return ShareSum(*key, n_tokens)

    def _forget(self, now_ms: float) -> None:
        for key, item in tuple(self._sums.items()):
            if now_ms - item.changed_ms <= FORGET_MS:
                return
            del self._sums[key]


_NONE = _Sum(0, 0, 0.0)

__all__ = (
    "FLEET_SUMS_PER_S",
    "FORGET_MS",
    "MAX_SUMS",
    "MAX_SUMS_PER_ANNOUNCEMENT",
    "MIN_INTERVAL_MS",
    "DispatchedTokens",
)
