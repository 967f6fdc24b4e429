"""Short requests that many VMs place at the same time, with the same view of the load.

Load: a hundred short requests a second at two hundred VMs and 56 engines with five
slots each; each VM learns what the others placed 50 ms later.
"""

from __future__ import annotations

import heapq
import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.head_of_line import ReadingLane
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.placement.first_token import FirstToken
from quetzaldeck.decisions.tuning import tune
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

N_SLOTS = 5
N_ENGINES = 56
VIEW_DELAY_MS = 50.0
ANSWER_MS = 2_000.0
SIMULATED_MS = 20_000.0
MAX_FULL_SHARE = 0.01
"""Share of short requests placed on a full engine; 99 % must be in time."""
SHORT = 5_000


class Engines:
    """Simulates engines and the delayed view that all VMs have of them."""

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

    def start(self, name: str, now_ms: float, answer_ms: float) -> None:
        """Start an answer; its start and end become visible after a delay."""
        self.n_running[name] += 1
        end_ms = now_ms + answer_ms
        for event in (
            (now_ms + VIEW_DELAY_MS, name, 1, False),
            (end_ms, name, -1, True),
            (end_ms + VIEW_DELAY_MS, name, -1, False),
        ):
            heapq.heappush(self._events, event)

    def advance(self, now_ms: float) -> None:
        """Process the ends of answers and the updates of the view up to ``now_ms``."""
        while self._events and self._events[0][0] <= now_ms:
            _, name, change, is_actual = heapq.heappop(self._events)
            if is_actual:
                self.n_running[name] += change
                continue
            state = next(state for state in self.pool if state.spec.name == name)
            n_before = state.peers.total(now_ms).n_requests
            load = VmLoad(n_requests=n_before + change)
            state.peers.update("others", load, now_ms)


@pytest.mark.parametrize("rate", [20.0, 40.0, 70.0])
def test_few_requests_are_placed_on_full_engines(
    make_request: Callable[..., Request], rate: float
) -> None:
    """Guards against placing requests on full engines while others have slots."""
    random_state = random.Random(1)
    engines = Engines(N_ENGINES, N_SLOTS)
    lane = ReadingLane()
    lane.configure(engines.bundle, tune(engines.bundle))
    policy = FirstToken(random_state=random_state)
    now_ms = 0.0
    n_full = n_placed = 0
    while now_ms < SIMULATED_MS:
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
        engines.start(name, now_ms, random_state.uniform(0.5, 1.5) * ANSWER_MS)
    assert n_full / n_placed <= MAX_FULL_SHARE


def test_few_answers_are_kept_together(make_request: Callable[..., Request]) -> None:
    """Guards against spreading few answers over all engines of a small fleet."""
    engines = Engines(14, 8)
    lane = ReadingLane()
    lane.configure(engines.bundle, tune(engines.bundle))
    for state in engines.pool[:4]:
        state.peers.update("others", VmLoad(n_requests=2), 0.0)
    compared = {
        state.spec.name
        for number in range(50)
        for state in lane.restrict(
            make_request(SHORT, max_gap_ms=250.0)._replace(request_id=f"r{number}"),
            engines.pool,
            0.0,
        )
    }
    assert len(compared) == 3
