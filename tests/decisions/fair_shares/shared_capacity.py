"""Simulates VMs that queue requests of 24 customers for the capacity of one fleet.

Load: steady arrivals at 0.8 of the capacity, of which the largest customer sends a
quarter; at ``BURST_MS`` one customer sends seven times its usual for eight seconds.
A tenth of the prompts is long. The capacity is a rate of tokens, which random VMs take
while they have requests. The sums of dispatched tokens arrive after a random delay.
"""

from __future__ import annotations

import heapq
import itertools
import random
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.fair_shares import ShareSum, ShareTracker
from quetzaldeck.decisions.queueing import FairQueue
from quetzaldeck.decisions.request import MAX_MEDIUM_TOKENS, Request

if TYPE_CHECKING:
    from collections.abc import Callable

N_CUSTOMERS = 24
STEP_MS = 10
END_MS = 36_000
BURST_MS = range(15_000, 23_000)
BURST_FACTOR = 7
BASE_LOAD = 0.8
REQUESTS_PER_S = 160
PATIENCE_MS = 3_000
LONG_PATIENCE_MS = 12_000
SIZES = ((0.7, 1_000, 4_000), (0.2, 4_000, 32_000), (0.1, 33_000, 200_000))
MEAN_TOKENS = sum(share * (low + high) / 2 for share, low, high in SIZES)
TOKENS_PER_MS = REQUESTS_PER_S * MEAN_TOKENS / 1_000 / BASE_LOAD


class Outcome(NamedTuple):
    """A request that was served, or not in time."""

    request: Request
    is_served: bool
    at_ms: float


class Vm:
    """One VM of an incarnation, with its queue."""

    def __init__(self, name: str, now_ms: float) -> None:
        self.name = name
        self.queue = FairQueue()
        self.tracker = ShareTracker(self.queue, now_ms)


class Fleet:
    """VMs that share capacity.

    :param burst: the customer that sends a burst; ``""``: none
    :param loses: returns whether an announcement from one VM to another is lost, by
        their numbers and the time
    """

    def __init__(
        self,
        n_vms: int,
        *,
        is_shared: bool,
        burst: str = "",
        loses: Callable[[int, int, float], bool] = lambda *_: False,
        seed: int = 1,
    ) -> None:
        self._arrival_random = random.Random(seed)
        self._random = random.Random(seed + 1)
        self._burst = burst
        self._is_shared = is_shared
        self._loses = loses
        self._numbers = itertools.count()
        self._transit: list[tuple[float, int, int, str, list[ShareSum]]] = []
        self._credit = 0.0
        self.vms = [Vm(f"vm{number}", -60_000.0) for number in range(n_vms)]
        self.outcomes: list[Outcome] = []

    def restart(self, number: int, now_ms: float) -> None:
        """Replace a VM; its queued requests are lost."""
        old = self.vms[number]
        self.outcomes += (
            Outcome(request, is_served=False, at_ms=now_ms) for request in old.queue
        )
        self.vms[number] = Vm(f"{old.name}+", now_ms)

    def run(self, on_step: Callable[[float], None] = lambda _: None) -> None:
        """Simulate until ``END_MS``."""
        for now_ms in range(0, END_MS, STEP_MS):
            on_step(now_ms)
            self._arrive(now_ms)
            self._expire(now_ms)
            self._serve(now_ms)
            if self._is_shared:
                self._exchange(now_ms)

    def served_share(self, keeps: Callable[[Request], bool]) -> float:
        """:returns: share of the requests from the burst on that were served in time"""
        during = [
            outcome.is_served
            for outcome in self.outcomes
            if outcome.request.arrived_ms in BURST_MS and keeps(outcome.request)
        ]
        return sum(during) / len(during)

    def used_share(self) -> float:
        """:returns: share of the capacity that was used during the burst"""
        n_tokens = sum(
            outcome.request.n_kv_tokens
            for outcome in self.outcomes
            if outcome.is_served and outcome.at_ms in BURST_MS
        )
        return n_tokens / (TOKENS_PER_MS * len(BURST_MS))

    def _arrive(self, now_ms: int) -> None:
        usual = [1 / (number + 1) for number in range(N_CUSTOMERS)]
        step_s = STEP_MS / 1_000
        for number, share in enumerate(usual):
            mean = REQUESTS_PER_S * step_s * share / sum(usual)
            is_burst = f"c{number}" == self._burst and now_ms in BURST_MS
            # The other arrivals are the same with and without the burst.
            for copy in range(BURST_FACTOR):
                drawn = self._draw(number, now_ms, mean)
                if drawn and (copy == 0 or is_burst):
                    vm, request = drawn
                    self.vms[vm].queue.push(request)

    def _draw(
        self, number: int, now_ms: int, mean: float
    ) -> tuple[int, Request] | None:
        chance = self._arrival_random
        if chance.random() >= mean:
            return None
        _, low, high = chance.choices(SIZES, [size[0] for size in SIZES])[0]
        n_tokens = chance.randrange(low, high)
        is_long = n_tokens > MAX_MEDIUM_TOKENS
        patience_ms = LONG_PATIENCE_MS if is_long else PATIENCE_MS
        return chance.randrange(len(self.vms)), Request(
            f"r{next(self._numbers)}",
            f"c{number}",
            "m",
            n_tokens,
            0,
            chance.choice((0, 0, 2)),
            now_ms,
            now_ms + patience_ms,
        )

    def _expire(self, now_ms: int) -> None:
        for vm in self.vms:
            for request in vm.queue:
                if request.deadline_ms <= now_ms:
                    vm.queue.remove(request.request_id)
                    self.outcomes.append(
                        Outcome(request, is_served=False, at_ms=now_ms)
                    )

    def _serve(self, now_ms: int) -> None:
        self._credit = min(self._credit + TOKENS_PER_MS * STEP_MS, TOKENS_PER_MS * 100)
        waiting = [vm for vm in self.vms if vm.queue]
        while self._credit > 0 and waiting:
            vm = self._random.choice(waiting)
            taken = vm.queue.take(now_ms, lambda _: ("e0",))
            assert taken is not None
            self._credit -= taken[0].n_kv_tokens
            self.outcomes.append(Outcome(taken[0], is_served=True, at_ms=now_ms))
            if self._is_shared:
                vm.tracker.note_dispatched(taken[0], now_ms)
            if not vm.queue:
                waiting.remove(vm)

    def _exchange(self, now_ms: int) -> None:
        n_vms = len(self.vms)
        for number, vm in enumerate(self.vms):
            sums = vm.tracker.take_changes(now_ms, n_vms)
            for other in range(n_vms) if sums else ():
                if other != number and not self._loses(number, other, now_ms):
                    at_ms = now_ms + self._random.uniform(50, 400)
                    entry = (at_ms, next(self._numbers), other, vm.name, sums)
                    heapq.heappush(self._transit, entry)
        while self._transit and self._transit[0][0] <= now_ms:
            _, _, other, name, sums = heapq.heappop(self._transit)
            self.vms[other].tracker.observe(name, sums, now_ms)


__all__ = ("BURST_MS", "N_CUSTOMERS", "Fleet")
