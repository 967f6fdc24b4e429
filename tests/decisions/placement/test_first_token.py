"""Tests of placement by time to first token and of the choice of helpers."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.decision import MAX_HELPERS
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.placement import FirstToken
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.decisions import Request

FIGURES = EngineFigures(8, 232_000, 206.0, pairs_ms_per_million=0.138)
N_ENGINES = 20


def make_pool(n_engines: int = N_ENGINES, zone: str = "a") -> list[UpstreamState]:
    return [
        UpstreamState(
            UpstreamSpec(
                f"{zone}{index}",
                "",
                models=("m",),
                kv_tokens=232_000,
                figures=FIGURES,
                availability_zone=zone,
            )
        )
        for index in range(n_engines)
    ]


@pytest.fixture
def policy() -> FirstToken:
    return FirstToken(random_state=random.Random(1), availability_zone="a")


def choose(
    policy: FirstToken, request: Request, pool: list[UpstreamState]
) -> tuple[str, tuple[str, ...]]:
    name = policy.choose(request, pool, 0.0)
    assert name is not None
    return name, policy.choose_helpers(request, name, pool, 0.0)


def test_short_prompt_is_prefilled_by_one_engine(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    request = make_request(5_000, max_gap_ms=250.0)
    assert choose(policy, request, make_pool())[1] == ()


def test_part_delays_running_answers_for_a_share_of_their_gap(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    policy.choose(make_request(5_000, max_gap_ms=250.0), make_pool(), 0.0)
    request = make_request(45_000)
    name, helpers = choose(policy, request, make_pool())
    part_ms = FIGURES.prefill_ms(45_000, n_parts=1 + len(helpers))
    assert part_ms <= 32
    assert name not in helpers


def test_no_more_helpers_than_a_request_may_name(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    helpers = choose(policy, make_request(500_000), make_pool(40))[1]
    assert len(helpers) == MAX_HELPERS == len(set(helpers))


def test_engine_loaded_by_other_vms_is_left_out(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    """Guards against naming engines as helpers that prefill long prompts of other VMs.

    Their parts would be prefilled last, and the first token follows the last part: a
    prompt of 45,000 tokens waited for three seconds although most engines were idle.
    """
    pool = make_pool()
    for state in pool[:8]:
        state.update_peer_load("other", VmLoad(1, 200_000, 200_000), 0.0)
    name, helpers = choose(policy, make_request(45_000), pool)
    busy = {state.spec.name for state in pool[:8]}
    assert not busy & {name, *helpers}
    assert len(helpers) >= 8


def test_leaving_and_ejected_engines_do_not_help(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    pool = make_pool(4)
    pool[1].is_listed_leaving = True
    name, helpers = choose(policy, make_request(100_000), [pool[0], pool[1]])
    assert {name, *helpers} <= {"a0", "a1"}
    assert "a1" not in helpers


def test_burst_is_spread_and_stays_in_the_zone_while_it_is_idle(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    """Sixteen short prompts arrive at once; four of eight engines are in the zone."""
    pool = [*make_pool(4, "a"), *make_pool(4, "b")]
    first = policy.choose(make_request(5_000), pool, 0.0)
    assert first is not None
    assert first.startswith("a")
    counts: dict[str, int] = {}
    for number in range(16):
        name = policy.choose(make_request(5_000), pool, 0.0)
        assert name is not None
        counts[name] = counts.get(name, 0) + 1
        state = next(s for s in pool if s.spec.name == name)
        state.add(InFlightAttempt(f"a{number}", f"r{number}", 5_000, 5_000, 0.0))
    assert max(counts.values()) <= 3


def test_slow_engine_gets_fewer_requests(
    policy: FirstToken, make_request: Callable[..., Request]
) -> None:
    pool = make_pool(4)
    for state in pool:
        factor = 6.0 if state.spec.name == "a0" else 1.0
        for _ in range(3):
            state.health.note_first_token(5_000, 30.0 * factor, 0.0)
    chosen = []
    for number in range(6):
        name = policy.choose(make_request(5_000), pool, 0.0)
        chosen.append(name)
        state = next(s for s in pool if s.spec.name == name)
        state.add(InFlightAttempt(f"a{number}", f"r{number}", 5_000, 5_000, 0.0))
    assert chosen.count("a0") <= 1
