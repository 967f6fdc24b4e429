"""A few long prompts a second at a hundred engines that all run answers.

A request names at most sixteen helpers, so that a part of a prompt of 230,000 tokens
delays the running answers of an engine for a quarter of a second, however many engines
there are. Spread over as many engines as may help, each such prompt makes the answers
on all of them late; on the few that suffice for its target, it delays only the answers
there.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.head_of_line.reading_lane import MAX_PREFILL_SHARE_OF_TARGET
from quetzaldeck.decisions.loads.peer_load import VmLoad

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Dispatch

FIGURES = EngineFigures(
    5, 232_000, 206.0, pairs_ms_per_million=0.138, step_ms=1.02, stride=68
)
NAMES = tuple(f"engine-{n:03}" for n in range(112))
N_RUNNING_ANSWERS = 3
TARGET_MS = 3_055.0
GAP_MS = 250.0


def send(clock: ManualClock, n_tokens: int) -> Dispatch:
    """:returns: the dispatch of a prompt while each engine runs a few answers"""
    scheduler = make_entry_scheduler(clock, NAMES, figures=FIGURES)
    load = VmLoad(N_RUNNING_ANSWERS, 0, 15_000)
    scheduler.fleet.observe_peer("other", [(name, load) for name in NAMES])
    request = make_request(
        n_prompt_tokens=n_tokens,
        max_output_tokens=700,
        now_ms=clock.now_ms(),
    )
    request = request._replace(target_ms=TARGET_MS, max_gap_ms=GAP_MS)
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def list_prefill_engines(dispatch: Dispatch) -> set[str]:
    return {*dispatch.upstreams, *dispatch.helpers}


@pytest.mark.parametrize("n_tokens", [150_000, 190_000, 230_000])
def test_long_prompt_is_prefilled_by_the_few_that_meet_the_target(
    clock: ManualClock, n_tokens: int
) -> None:
    """Guards against making fifty short answers late where four engines suffice."""
    n_engines = len(list_prefill_engines(send(clock, n_tokens)))
    prefill_ms = FIGURES.prefill_ms(n_tokens, n_parts=n_engines)
    assert prefill_ms <= TARGET_MS * MAX_PREFILL_SHARE_OF_TARGET
    assert n_engines <= (MAX_HELPERS + 1) / 3


def test_prompt_whose_parts_delay_nobody_is_spread(clock: ManualClock) -> None:
    """Guards against stopping all answers of one engine for a medium prompt."""
    engines = list_prefill_engines(send(clock, 45_000))
    assert len(engines) > 8
    part_ms = FIGURES.prefill_ms(45_000, n_parts=len(engines))
    assert part_ms < GAP_MS / 4
