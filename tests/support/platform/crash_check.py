"""Checks from what replicas get that a request stops ending them."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator

N_CRASHES = 3
"""Crashes after which a request that is sent again counts as one that ends replicas."""

N_PART_CRASHES = 5
"""Crashes after which a part of prompts counts as one that ends replicas."""

GRACE_MS = 3_000.0
"""Time after the last of these crashes from which on further sends count."""

MARGIN_MS = 500.0
"""Time for which neighbours are sent after that."""

MAX_SENDS = 3
"""Further sends that are allowed, of all VMs together."""


class Sending(NamedTuple):
    """A request reached a replica.

    :param vm: VM that sent it
    """

    at_ms: float
    vm: str


class CrashRecord:
    """What replicas got of requests that end them, by request, in order of time.

    :param n_crashes: crashes after which a request counts as one that ends what runs it
    """

    def __init__(self, n_crashes: int = N_CRASHES) -> None:
        self._n_crashes = n_crashes
        self.crashes_ms: defaultdict[str, list[float]] = defaultdict(list)
        self.sendings: defaultdict[str, list[Sending]] = defaultdict(list)

    def is_settled(self, name: str, now_s: float) -> bool:
        """:returns: whether all VMs must have stopped a request for half a second

        :param now_s: time of the event loop, in seconds
        """
        crashes_ms = self.crashes_ms[name][: self._n_crashes]
        if not crashes_ms:
            return True
        return now_s * 1_000 > crashes_ms[-1] + GRACE_MS + MARGIN_MS

    def find_excess(
        self, is_excused: Callable[[str, float, float], bool] = lambda *_: False
    ) -> Iterator[str]:
        """Find requests that were sent on after they had ended several replicas.

        :param is_excused: whether a VM was disturbed in a time span, by its bounds
        :returns: a description of each
        """
        for name, crashes_ms in self.crashes_ms.items():
            if len(crashes_ms) < self._n_crashes:
                continue
            counted_ms = crashes_ms[self._n_crashes - 1] + GRACE_MS
            late = [
                sending
                for sending in self.sendings[name]
                if sending.at_ms > counted_ms
                and not is_excused(sending.vm, sending.at_ms - GRACE_MS, sending.at_ms)
            ]
            if len(late) > MAX_SENDS:
                yield (
                    f"{name}: sent {len(late)} times more after {self._n_crashes} "
                    f"crashes, {len(crashes_ms)} crashes in all"
                )


__all__ = ("GRACE_MS", "N_PART_CRASHES", "CrashRecord", "Sending")
