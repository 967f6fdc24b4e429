"""Short requests that many VMs place within the same moment, by the same view.

Load: a hundred short requests a second at two hundred VMs before 56 engines with five
slots; each VM hears of what the others placed 50 ms later.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.head_of_line import ReadingLane
from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.decisions.placement.first_token import FirstToken
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

N_SLOTS = 5
N_ENGINES = 56
NEWS_MS = 50.0
ANSWER_MS = 2_000.0
PLAYED_MS = 20_000.0
MAX_FULL_SHARE = 0.01
"""Of the callers of short requests; ninety-nine in a hundred shall be in time."""
SHORT = 5_000


class Engines:
    """Engines, and the view that all VMs have of them, somewhat later."""

    def __init__(self, n_engines: int, n_slots: int) -> None:
        figures = EngineFigures(
            n_slots, 232_000, 206.0, pairs_ms_per_million=0.138, step_ms=1.02
        )
        specs = tuple(
            UpstreamSpec(
                f"e{index}", "", models=("m",), kv_tokens=232_000, figures=figures
            )
            for index in range(n_engines)
        )
        self.bundle = Bundle(1, 1, upstreams=specs)
        self.pool = [UpstreamState(spec) for spec in specs]
        self.n_running = dict.fromkeys((spec.name for spec in specs), 0)
        self._events: list[tuple[float, str, int, bool]] = []

    def begin(self, name: str, now_ms: float, answer_ms: float) -> None:
        """Begin an answer; its begin and its end are heard of later."""
        self.n_running[name] += 1
        end_ms = now_ms + answer_ms
        for event in (
            (now_ms + NEWS_MS, name, 1, False),
            (end_ms, name, -1, True),
            (end_ms + NEWS_MS, name, -1, False),
        ):
            heapq.heappush(self._events, event)

    def advance(self, now_ms: float) -> None:
        """Let answers end, and news arrive."""
        while self._events and self._events[0][0] <= now_ms:
            _, name, change, is_true = heapq.heappop(self._events)
            if is_true:
                self.n_running[name] += change
                continue
            state = next(state for state in self.pool if state.spec.name == name)
            n_before = state.peers.total(now_ms).n_requests
            share = VmLoad(n_requests=n_before + change)
            state.peers.update("others", share, now_ms)


@pytest.mark.parametrize("rate", [20.0, 40.0, 70.0])
def test_few_requests_are_sent_to_an_engine_without_a_slot(
    make_request: Callable[..., Request], rate: float
) -> None:
    """Guards against callers who wait behind full engines while others have room."""
    random_state = random.Random(1)
    engines = Engines(N_ENGINES, N_SLOTS)
    lane = ReadingLane()
    lane.configure(engines.bundle, tune(engines.bundle))
    policy = FirstToken(random_state=random_state)
    now_ms = 0.0
    n_full = n_placed = 0
    while now_ms < PLAYED_MS:
        now_ms += random_state.expovariate(rate) * 1_000.0
        engines.advance(now_ms)
        request = make_request(SHORT, max_gap_ms=250.0)._replace(
            request_id=f"r{n_placed}"
        )
        sample = random_state.sample(engines.pool, 32)
        candidates = lane.restrict(request, sample, now_ms)
        name = policy.choose(request, candidates, now_ms)
        assert name is not None
        n_placed += 1
        n_full += engines.n_running[name] >= N_SLOTS
        engines.begin(name, now_ms, random_state.uniform(0.5, 1.5) * ANSWER_MS)
    assert n_full / n_placed <= MAX_FULL_SHARE


def test_few_answers_are_kept_together(make_request: Callable[..., Request]) -> None:
    """Guards against a small fleet whose engines all write, with none left to read."""
    engines = Engines(14, 8)
    lane = ReadingLane()
    lane.configure(engines.bundle, tune(engines.bundle))
    for state in engines.pool[:4]:
        state.peers.update("others", VmLoad(n_requests=2), 0.0)
    looked_at = {
        state.spec.name
        for number in range(50)
        for state in lane.restrict(
            make_request(SHORT, max_gap_ms=250.0)._replace(request_id=f"r{number}"),
            engines.pool,
            0.0,
        )
    }
    assert len(looked_at) == 3
