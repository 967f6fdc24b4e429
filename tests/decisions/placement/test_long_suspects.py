"""Two long prompts that were on an engine when it crashed are sent again at once.

Beside them, the other engines answer short requests. Each of the two needs the memory
of several engines, and an engine runs at most one suspect.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.support.builders import make_entry_scheduler, make_request

from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions import Dispatch
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.poison import CrashSighting

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock

FIGURES = EngineFigures(
    8, 120_000, 90.0, pairs_ms_per_million=0.138, step_ms=1.02, stride=68
)
NAMES = tuple(f"engine-{n:02}" for n in range(16))
N_IDLE = 6
SUSPECTS = (1, 2)


def test_second_long_suspect_leaves_the_engines_of_short_answers_alone(
    clock: ManualClock,
) -> None:
    """Guards against stopping all answers of six engines for a bystander of a crash."""
    scheduler = make_entry_scheduler(clock, NAMES, figures=FIGURES)
    load = VmLoad(4, 0, 15_000)
    busy = NAMES[N_IDLE:]
    scheduler.fleet.observe_peer("other", [(name, load) for name in busy])
    crash = [CrashSighting(item, "gone", "1", 5_000.0, 900.0) for item in SUSPECTS]
    scheduler.fleet.observe_crashes(crash)
    for fingerprint in SUSPECTS:
        request = make_request(
            f"r{fingerprint}",
            n_prompt_tokens=400_000,
            now_ms=clock.now_ms(),
            fingerprint=fingerprint,
        )
        request = request._replace(
            target_ms=8_000.0, max_gap_ms=250.0, deadline_ms=clock.now_ms() + 30_000.0
        )
        assert scheduler.submit(request) is None
    dispatches = [item for item in scheduler.poll() if isinstance(item, Dispatch)]
    assert len(dispatches) == 1
    assert not {*dispatches[0].upstreams, *dispatches[0].helpers} & set(busy)
