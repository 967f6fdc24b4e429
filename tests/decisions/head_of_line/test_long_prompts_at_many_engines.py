"""A few long prompts a second before a hundred engines that all write.

One request names sixteen helpers at the most, so that a part of a prompt of 230,000
tokens holds up the writers of an engine for a quarter of a second however many engines
there are. Read by as many as may help, each such prompt makes the answers on all of
these late; read by the few that are in time for it, those on the few.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
from tests.support.builders import make_entry_scheduler, make_request, poll_dispatch

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.head_of_line.reading_lane import MAX_READ_SHARE_OF_TARGET
from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.decisions.placement.first_token import MAX_HELPERS

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions import Dispatch

FIGURES = EngineFigures(
    5, 232_000, 206.0, pairs_ms_per_million=0.138, step_ms=1.02, stride=68
)
NAMES = tuple(f"engine-{n:03}" for n in range(112))
N_WRITERS = 3
TARGET_MS = 3_055.0
GAP_MS = 250.0


def send(clock: ManualClock, n_tokens: int) -> Dispatch:
    """:returns: how a prompt is sent while each engine writes a few answers"""
    scheduler = make_entry_scheduler(clock, NAMES, figures=FIGURES)
    share = VmLoad(N_WRITERS, 0, 15_000)
    scheduler.fleet.observe_peer("other", [(name, share) for name in NAMES])
    request = make_request(
        n_prompt_tokens=n_tokens,
        max_output_tokens=700,
        now_ms=clock.now_ms(),
    )
    request = request._replace(target_ms=TARGET_MS, max_gap_ms=GAP_MS)
    assert scheduler.submit(request) is None
    return poll_dispatch(scheduler)


def list_readers(dispatch: Dispatch) -> set[str]:
    return {*dispatch.upstreams, *dispatch.helpers}


@pytest.mark.parametrize("n_tokens", [150_000, 190_000, 230_000])
def test_long_prompt_is_read_by_the_few_that_are_in_time(
    clock: ManualClock, n_tokens: int
) -> None:
    """Each long prompt makes fifty short answers late though four engines would do."""
    n_readers = len(list_readers(send(clock, n_tokens)))
    read_ms = FIGURES.read_ms(n_tokens, n_parts=n_readers)
    assert read_ms <= TARGET_MS * MAX_READ_SHARE_OF_TARGET
    assert n_readers <= (MAX_HELPERS + 1) / 3


def test_prompt_whose_parts_hold_nobody_up_is_spread(clock: ManualClock) -> None:
    """A prompt of middle length is read on one engine, whose writers all stop."""
    readers = list_readers(send(clock, 45_000))
    assert len(readers) > 8
    part_ms = FIGURES.read_ms(45_000, n_parts=len(readers))
    assert part_ms < GAP_MS / 4
