"""Tests of the power of few choices and of its prefix index."""

from __future__ import annotations

import random
from collections import Counter
from typing import TYPE_CHECKING

from tests.support.builders import make_report, make_request, make_state

from quetzaldeck.decisions.memory import InFlightAttempt
from quetzaldeck.decisions.placement import (
    CacheCursor,
    CacheEvent,
    CacheEvents,
    FewChoices,
    PrefixIndex,
)

if TYPE_CHECKING:
    from quetzaldeck.decisions import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState

PREFIXES = (11, 12, 13)


def make_policy(seed: int = 1) -> FewChoices:
    return FewChoices(random_state=random.Random(seed))


def choose(
    policy: FewChoices, request: Request, pool: list[UpstreamState], now_ms: float = 0.0
) -> str:
    name = policy.choose(request, pool, now_ms)
    assert name is not None
    return name


def test_choose_spreads_requests_despite_one_stale_report() -> None:
    """Seven VMs see the same load report, in which one engine of fourteen is idle.

    If each sends all its requests there until the next report, the idle engine becomes
    the most loaded.
    """
    sent: Counter[str] = Counter()
    for vm in range(7):
        policy = make_policy(vm)
        pool = [make_state(f"e{index}", kv_tokens=400_000) for index in range(14)]
        for state in pool:
            n_running = 0 if state.spec.name == "e0" else 4
            state.observe(make_report(state.spec.name, n_running=n_running), 0.0)
        for index in range(10):
            request = make_request(f"r{index}")
            name = choose(policy, request, pool)
            state = next(s for s in pool if s.spec.name == name)
            state.add(InFlightAttempt(f"a{index}", f"r{index}", 1_010, 1_000, 1.0))
            sent[name] += 1
    assert sum(sent.values()) == 70
    assert sent["e0"] <= 14


def test_choose_spreads_a_popular_prefix_before_its_holder_is_overloaded() -> None:
    """One engine has cached the prefix that all prompts of a burst share."""
    policy = make_policy()
    pool = [make_state(f"e{index}", kv_tokens=400_000) for index in range(8)]
    for state in pool:
        state.observe(make_report(state.spec.name), 0.0)
    request = make_request(n_prompt_tokens=4_500)._replace(prefix_hashes=PREFIXES)
    policy.note_answer(request, pool[0])
    sent: Counter[str] = Counter()
    for index in range(40):
        name = choose(policy, request, pool)
        sent[name] += 1
        state = next(s for s in pool if s.spec.name == name)
        state.add(InFlightAttempt(f"a{index}", f"r{index}", 4_510, 4_500, 1.0))
    assert sent["e0"] == max(sent.values())
    assert sent["e0"] <= 10
    assert len(sent) == 8


def test_choose_prefers_an_engine_with_the_adapter_loaded() -> None:
    pool = [make_state("e0"), make_state("e1")]
    pool[0].observe(make_report("e0"), 0.0)
    report = make_report("e1")._replace(models=("m:1", "m:1:lifting"))
    pool[1].observe(report, 0.0)
    request = make_request()._replace(adapter="lifting")
    assert choose(make_policy(), request, pool) == "e1"


def test_choose_prefers_its_own_zone_only_at_equal_cost() -> None:
    policy = FewChoices(random_state=random.Random(1), availability_zone="b")
    pool = [make_state("e0", zone="a"), make_state("e1", zone="b")]
    assert choose(policy, make_request(), pool) == "e1"
    pool[1].add(InFlightAttempt("a", "r", 1_010, 1_000, 0.0))
    assert choose(policy, make_request(), pool) == "e0"


def test_choose_ramps_up_the_load_of_a_restarted_upstream() -> None:
    """A restarted engine has an empty cache and reports no load."""
    shares = []
    for now_ms in (0.0, 5_000.0, 10_000.0):
        pool = [make_state(f"e{index}", kv_tokens=400_000) for index in range(3)]
        for state in pool[1:]:
            state.observe(make_report(state.spec.name, n_running=1), now_ms)
        pool[0].health.start_warm_up(0.0)
        policy = make_policy()
        sent: Counter[str] = Counter()
        for index in range(60):
            name = choose(policy, make_request(), pool, now_ms)
            sent[name] += 1
            state = next(s for s in pool if s.spec.name == name)
            state.add(InFlightAttempt(f"a{index}", f"r{index}", 1_010, 1_000, now_ms))
        shares.append(sent["e0"])
    assert shares[0] < 10
    assert shares == sorted(shares)
    assert shares[2] >= 20


def test_choose_discounts_old_reports() -> None:
    pool = [make_state("e0"), make_state("e1")]
    pool[0].observe(make_report("e0", n_prefill_tokens=5_000), 0.0)
    pool[1].observe(make_report("e1", n_running=2), 0.0)
    assert choose(make_policy(), make_request(), pool, 0.0) == "e1"
    pool[1].add(InFlightAttempt("a", "r", 2_010, 2_000, 0.0))
    assert choose(make_policy(), make_request(), pool, 10_000.0) == "e0"


def make_events(
    sequence: int,
    incarnation: str = "i1",
    *,
    prefixes: tuple[int, ...] = PREFIXES,
    is_cached: bool = True,
) -> CacheEvents:
    events = tuple(
        CacheEvent(sequence + index, is_cached, prefix)
        for index, prefix in enumerate(prefixes)
    )
    return CacheEvents("e0", incarnation, events)


def count(index: PrefixIndex, incarnation: str = "i1") -> float:
    return index.n_cached_tokens("e0", incarnation, PREFIXES)


def test_index_discounts_entries_from_before_a_gap() -> None:
    """Event 4 is lost and may have been an eviction."""
    index = PrefixIndex()
    index.observe(make_events(1))
    assert count(index) == 4_096
    index.observe(make_events(5, prefixes=(99,)))
    assert count(index) == 2_048
    index.observe(make_events(6))
    assert count(index) == 4_096


def test_index_ignores_events_of_an_old_incarnation() -> None:
    """The engine restarted with an empty cache; older events arrive late."""
    index = PrefixIndex()
    index.observe(make_events(1))
    index.observe(make_events(1, "i2", prefixes=(99,)))
    index.observe(make_events(4, "i1"))
    assert count(index, "i2") == 0
    assert count(index, "i1") == 4_096


def test_index_ignores_duplicate_and_late_events() -> None:
    index = PrefixIndex()
    index.observe(make_events(1))
    index.observe(make_events(4, prefixes=PREFIXES[1:], is_cached=False))
    index.observe(make_events(1))
    assert count(index) == 256


def test_cursor_never_goes_back_within_an_incarnation() -> None:
    cursor = CacheCursor().after(make_events(1)).after(make_events(5))
    assert cursor == CacheCursor("i1", 7)
    assert cursor.after(make_events(1)) == cursor
    assert cursor.after(make_events(1, "i2")) == CacheCursor("i2", 3)


def test_index_is_bounded() -> None:
    index = PrefixIndex(max_prefixes=10)
    index.add_cached("e0", "i1", range(100))
    assert len(index) == 10
    assert index.list_holders((0,)) == ()
    assert index.list_holders((99,)) == ("e0",)
