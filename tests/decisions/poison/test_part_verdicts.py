"""Detecting parts of prompts that crash engines."""

from __future__ import annotations

import random

import pytest
from tests.support.builders import (
    make_entry_scheduler,
    make_request,
    make_scheduler,
)

from quetzaldeck.clock import ManualClock
from quetzaldeck.decisions import (
    AttemptEnd,
    AttemptFault,
    Decision,
    Dispatch,
    Request,
    Scheduler,
)
from quetzaldeck.decisions.poison import (
    CrashSighting,
    Liveness,
    PoisonBounds,
    PoisonRegistry,
    Verdict,
    compute_part_fingerprint,
    format_fingerprint,
    is_part,
)
from quetzaldeck.outcomes import Reason

BAD, FIRST, CLUB, OTHER = (compute_part_fingerprint(part) for part in "bcde")
ENGINES = ("e0", "e1", "e2", "e3")
RUN_MS = 60.0


def crash(
    registry: PoisonRegistry,
    number: int,
    at_ms: float,
    *parts: int,
    run_ms: float = RUN_MS,
) -> None:
    """Let an engine crash under one request that is like no other."""
    for fingerprint in (number, *parts):
        name = f"e{number}"
        registry.note_crash(fingerprint, name, name, at_ms, run_ms=run_ms)


def test_part_is_refused_after_three_crashes_of_prompts_that_share_nothing_else() -> (
    None
):
    """Guards against engines that end one after the other under a part."""
    registry = PoisonRegistry()
    for number in range(1, 4):
        assert registry.judge((9, BAD), number * 1_000.0) is not Verdict.REFUSED
        crash(registry, number, number * 1_000.0, BAD, -number)
    assert registry.judge((9, FIRST, BAD), 4_000.0) is Verdict.REFUSED
    assert registry.judge((9, FIRST), 4_000.0) is Verdict.CLEAR
    blocked = registry.find_blocked_by((9, BAD), 4_000.0)
    assert blocked is not None
    assert blocked.crashed == ("e1", "e2", "e3")
    assert blocked.until_ms == 3_000.0 + PoisonBounds().forget_ms


def test_part_that_sound_prompts_share_is_neither_refused_nor_run_apart() -> None:
    """Guards against sound prompts that are refused, or run one at a time."""
    registry = PoisonRegistry()
    registry.note_lived((FIRST, CLUB), 0.0, 500.0)
    for number in range(1, 6):
        crash(registry, number, number * 1_000.0, FIRST, BAD)
        assert registry.judge((9, FIRST, CLUB), number * 1_000.0) is Verdict.CLEAR
    assert registry.judge((9, FIRST, BAD), 6_000.0) is Verdict.REFUSED


@pytest.mark.parametrize("n_engines", [3, 30])
def test_new_part_is_not_refused_when_all_engines_end_at_once(n_engines: int) -> None:
    """Guards against refusing a new kind of prompt after a loss of power."""
    registry = PoisonRegistry()
    for number in range(1, n_engines + 1):
        crash(registry, number, 1_000.0 + number % 7, FIRST, run_ms=30.0 + number)
    assert registry.judge((99, FIRST), 2_000.0) is Verdict.SUSPECT
    registry.note_lived((FIRST,), 2_100.0, 2_700.0)
    assert registry.judge((99, FIRST), 2_700.0) is Verdict.CLEAR


def test_part_that_was_sound_before_is_refused_after_five_crashes() -> None:
    """Guards against a new version of the engines that ends on an old part."""
    registry = PoisonRegistry()
    registry.note_lived((FIRST,), 0.0, 500.0)
    verdicts = []
    for number in range(1, 6):
        crash(registry, number, number * 1_000.0, FIRST)
        verdicts.append(registry.judge((9, FIRST), number * 1_000.0))
    assert verdicts[:2] == [Verdict.CLEAR] * 2
    assert verdicts[2:] == [Verdict.SUSPECT, Verdict.SUSPECT, Verdict.REFUSED]


def test_answer_that_began_before_a_crash_does_not_clear_its_parts() -> None:
    """Guards against long answers that hide that a part has begun to crash engines."""
    registry = PoisonRegistry()
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD)
        registry.note_lived((BAD,), 999.0, number * 1_000.0 + 400.0)
    assert registry.n_crashes(BAD, 4_000.0) == 3
    registry.note_lived((BAD,), 3_001.0, 4_000.0)
    assert registry.n_crashes(BAD, 4_000.0) == 0


def test_crash_that_becomes_known_late_does_not_count_against_a_part_that_lived() -> (
    None
):
    """Guards against sound parts that are suspected of crashes found out later."""
    registry = PoisonRegistry()
    registry.note_lived((FIRST,), 5_000.0, 5_500.0)
    crash(registry, 1, 4_000.0, FIRST)
    assert registry.n_crashes(FIRST, 5_500.0) == 0


def test_prompt_with_one_of_two_parts_that_always_crash_together_may_run() -> None:
    """Guards against refusing the sound one of two parts that came together."""
    registry = PoisonRegistry()
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD, OTHER)
    assert registry.judge((9, OTHER, BAD), 4_000.0) is Verdict.REFUSED
    assert registry.judge((9, OTHER), 4_000.0) is Verdict.SUSPECT
    registry.note_lived((OTHER,), 4_500.0, 5_000.0)
    assert registry.judge((9, OTHER), 5_000.0) is Verdict.CLEAR
    assert registry.judge((9, BAD), 5_000.0) is Verdict.REFUSED


def test_each_of_two_bad_parts_of_the_same_prompts_is_refused_by_itself() -> None:
    """Guards against a second bad part that hides behind the first."""
    registry = PoisonRegistry()
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD, OTHER)
    crash(registry, 4, 4_000.0, OTHER)
    crash(registry, 5, 5_000.0, BAD)
    assert registry.judge((9, OTHER), 6_000.0) is Verdict.REFUSED
    assert registry.judge((9, BAD), 6_000.0) is Verdict.REFUSED


def test_part_of_a_request_that_is_sent_again_is_not_refused_with_it() -> None:
    """Guards against refusing a new session for one request that crashes engines."""
    registry = PoisonRegistry()
    for index in range(3):
        at_ms = index * 1_000.0
        for fingerprint in (1, CLUB):
            registry.note_crash(fingerprint, f"e{index}", "i", at_ms, run_ms=RUN_MS)
    assert registry.judge((1, CLUB), 3_000.0) is Verdict.REFUSED
    assert registry.judge((2, CLUB), 3_000.0) is Verdict.SUSPECT


def test_part_that_crashes_engines_only_sometimes_is_refused_after_five_in_a_row() -> (
    None
):
    registry = PoisonRegistry()
    crash(registry, 1, 1_000.0, BAD)
    crash(registry, 2, 2_000.0, BAD)
    registry.note_lived((BAD,), 2_500.0, 3_000.0)
    for number in range(3, 8):
        assert registry.judge((9, BAD), number * 1_000.0) is not Verdict.REFUSED
        crash(registry, number, number * 1_000.0, BAD)
    assert registry.judge((9, BAD), 8_000.0) is Verdict.REFUSED


def test_refused_part_may_run_again_after_ten_minutes() -> None:
    """Guards against refusing a part forever that a new version of engines takes."""
    registry = PoisonRegistry()
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD)
    later_ms = 3_001.0 + PoisonBounds().forget_ms
    assert registry.judge((9, BAD), later_ms) is not Verdict.REFUSED


def test_parts_that_are_used_once_do_not_push_out_what_is_refused() -> None:
    """Guards against a caller who makes up parts until a bad one is forgotten."""
    bounds = PoisonBounds(max_fingerprints=300)
    registry = PoisonRegistry(bounds)
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD)
    for number in range(4, 60):
        made_up = (-number * 1_000 - index for index in range(bounds.max_parts))
        crash(registry, number, 60_000.0 + number, *made_up)
    assert len(registry) <= bounds.max_fingerprints
    assert registry.judge((9, BAD), 61_000.0) is Verdict.REFUSED


def test_of_very_many_parts_those_are_recorded_of_which_least_is_known() -> None:
    """Guards against prompts of a thousand parts that fill the memory."""
    registry = PoisonRegistry()
    known = [compute_part_fingerprint(f"{index:x}") for index in range(1, 500)]
    registry.note_lived(known, 0.0, 500.0)
    recorded = registry.select_recorded((7, *known[:250], BAD, *known[250:]))
    assert len(recorded) == 1 + PoisonBounds().max_parts
    assert recorded[0] == 7
    assert BAD in recorded


def test_made_up_parts_do_not_hide_a_bad_one_for_long() -> None:
    """Guards against a bad part behind more new ones than are recorded of a run."""
    registry = PoisonRegistry()
    n_recorded = 0
    random_state = random.Random(0)
    for _ in range(100):
        made_up = [-random_state.getrandbits(60) for _ in range(128)]
        request = random_state.getrandbits(64)
        n_recorded += BAD in registry.select_recorded((request, *made_up, BAD))
    assert n_recorded >= 15


def test_vms_are_told_that_a_suspected_part_is_sound() -> None:
    """Guards against a VM without such prompts that suspects their part for long."""
    teller, listener = PoisonRegistry(), PoisonRegistry()
    crash(teller, 1, 1_000.0, FIRST)
    for sightings in teller.pop_changed_sightings(1_000.0):
        listener.observe(sightings, 1_000.0)
    assert listener.judge((9, FIRST), 1_000.0) is Verdict.SUSPECT
    teller.note_lived((FIRST,), 1_200.0, 1_700.0)
    for sightings in teller.pop_changed_sightings(1_700.0):
        listener.observe(sightings, 1_700.0)
    assert listener.judge((9, FIRST), 1_700.0) is Verdict.CLEAR


def tell(teller: PoisonRegistry, listener: PoisonRegistry, now_ms: float) -> None:
    """Tell a VM what another one has to announce."""
    for sightings in teller.pop_changed_sightings(now_ms):
        listener.observe(sightings, now_ms)


def test_vm_that_has_restarted_is_told_that_a_part_is_sound() -> None:
    """Guards against a VM that refuses a shared part which others answer all the time.

    Prompts with bad parts, each another one, end engines, and it has seen no answer.
    """
    restarted, other = PoisonRegistry(), PoisonRegistry()
    other.note_lived((FIRST,), 0.0, 500.0)
    for number, bad in enumerate((BAD, CLUB, OTHER), start=1):
        at_ms = number * 1_000.0
        crash(restarted, number, at_ms, FIRST, bad)
        tell(restarted, other, at_ms)
        assert other.verdict(FIRST, at_ms) is Verdict.CLEAR
        other.note_lived((FIRST,), at_ms + 100.0, at_ms + 600.0)
        tell(other, restarted, at_ms + 600.0)
        assert restarted.verdict(FIRST, at_ms + 600.0) is Verdict.CLEAR


def test_sound_part_is_told_once_for_each_crash() -> None:
    """Guards against an announcement of each VM for each answer."""
    restarted, other = PoisonRegistry(), PoisonRegistry()
    other.note_lived((FIRST,), 0.0, 500.0)
    crash(restarted, 1, 1_000.0, FIRST, BAD)
    tell(restarted, other, 1_000.0)
    n_told = 0
    for at_ms in range(1_100, 3_000, 100):
        other.note_lived((FIRST,), at_ms, at_ms + 500.0)
        n_told += len(other.pop_changed_sightings(at_ms + 500.0))
    assert n_told == 1


def test_part_is_sound_in_whatever_order_a_vm_learns_of_it() -> None:
    """Guards against suspecting a part of which an answer was told after its crash."""
    first, last = PoisonRegistry(), PoisonRegistry()
    cleared = [CrashSighting(FIRST, "", "", 500.0)]
    crashed = [CrashSighting(FIRST, "e0", "0", 100.0, RUN_MS)]
    first.observe([*cleared, *crashed], 1_000.0)
    last.observe([*crashed, *cleared], 1_000.0)
    assert first.verdict(FIRST, 1_000.0) is Verdict.CLEAR
    assert last.verdict(FIRST, 1_000.0) is Verdict.CLEAR


def test_part_is_sound_whichever_vm_saw_its_crash_first() -> None:
    """Guards against taking the word of a VM that has seen no answer for all others."""
    knows = CrashSighting(FIRST, "e0", "0", 90.0, RUN_MS, was_answered=True)
    for seen_first in (80.0, 100.0):
        registry = PoisonRegistry()
        started = CrashSighting(FIRST, "e0", "0", seen_first, RUN_MS)
        registry.observe([started, knows], 1_000.0)
        assert registry.verdict(FIRST, 1_000.0) is Verdict.CLEAR


def test_greetings_repeat_bad_parts_and_not_sound_ones() -> None:
    """Guards against greetings filled with parts that are in every crash."""
    registry = PoisonRegistry()
    sound = [compute_part_fingerprint(f"{index:x}") for index in range(100, 130)]
    registry.note_lived(sound, 0.0, 500.0)
    for number in range(1, 4):
        crash(registry, number, number * 1_000.0, BAD, *sound)
    listed = registry.list_state(8, 4_000.0, random_state=random.Random(0))
    assert {sighting.fingerprint for sighting in listed} & set(sound) == set()
    assert sum(sighting.fingerprint == BAD for sighting in listed) == 3


@pytest.mark.parametrize("n_crashes", [3, 8, 12])
@pytest.mark.parametrize("culprit", [7, BAD], ids=["request", "part"])
def test_greetings_repeat_what_was_in_very_many_crashes(
    culprit: int, n_crashes: int
) -> None:
    """Guards against VMs that missed the news and are never told of the worst."""
    teller, listener = PoisonRegistry(), PoisonRegistry()
    for number in range(1, n_crashes + 1):
        name = f"e{number}"
        at_ms = number * 1_000.0
        teller.note_crash(culprit, name, name, at_ms, run_ms=RUN_MS)
    now_ms = (n_crashes + 1) * 1_000.0
    listed = teller.list_state(8, now_ms, random_state=random.Random(0))
    assert len(listed) <= 8
    listener.observe(listed, now_ms)
    assert listener.verdict(culprit, now_ms) is Verdict.REFUSED


def test_fingerprints_of_parts_are_told_apart_and_can_be_read() -> None:
    part = compute_part_fingerprint("91bd3f06")
    assert is_part(part)
    assert not is_part(0x91BD3F06)
    assert format_fingerprint(part) == "part-91bd3f06"
    others = {compute_part_fingerprint(text) for text in ("0", "x", "f" * 40, "-1")}
    assert len(others) == 4
    assert all(is_part(fingerprint) for fingerprint in others)


def make_prompt(name: str, *parts: int, now_ms: float = 0.0) -> Request:
    request = make_request(name, now_ms=now_ms, fingerprint=int(name[1:]))
    return request._replace(part_fingerprints=parts)


def test_prompts_with_a_suspected_part_run_one_at_a_time() -> None:
    """Guards against one more crash for each prompt that waits as a crash is known."""
    clock = ManualClock(1_000.0)
    scheduler = make_scheduler(clock, ENGINES)
    crash(scheduler.poison, 1, clock.now_ms(), BAD)
    clock.advance(PoisonBounds().propagation_ms)
    for number in (2, 3, 4):
        request = make_prompt(f"r{number}", BAD, now_ms=clock.now_ms())
        assert scheduler.submit(request) is None
    assert scheduler.poll() == []
    clock.advance(PoisonBounds().propagation_ms)
    dispatches = scheduler.poll()
    assert len(dispatches) == 1
    assert isinstance(dispatches[0], Dispatch)
    scheduler.note_first_token(dispatches[0].attempt_id)
    clock.advance(PoisonBounds().lived_ms)
    scheduler.note_lived(dispatches[0].attempt_id)
    assert len(scheduler.poll()) == 2


def test_prompts_with_fewer_suspected_parts_run_first() -> None:
    """Guards against refusing a shared part as only prompts with a bad one ran."""
    clock = ManualClock(1_000.0)
    scheduler = make_entry_scheduler(clock, ENGINES)
    crash(scheduler.poison, 1, clock.now_ms(), FIRST, BAD)
    clock.advance(PoisonBounds().propagation_ms)
    for name, parts in (("r2", (FIRST, BAD)), ("r3", (FIRST, CLUB))):
        scheduler.submit(make_prompt(name, *parts, now_ms=clock.now_ms()))
    scheduler.poll()
    decisions: list[Decision] = []
    while not decisions:
        clock.advance(20.0)
        decisions = scheduler.poll()
    (dispatch,) = decisions
    assert isinstance(dispatch, Dispatch)
    assert dispatch.request.request_id == "r3"


def start_first(*requests: Request, clock: ManualClock, scheduler: Scheduler) -> str:
    """:returns: id of the request that is started first of several suspects"""
    for request in requests:
        scheduler.submit(request)
    decisions: list[Decision] = []
    while not decisions:
        clock.advance(20.0)
        decisions = scheduler.poll()
    (dispatch,) = decisions
    assert isinstance(dispatch, Dispatch)
    return dispatch.request.request_id


def test_prompts_without_parts_of_any_crash_run_first() -> None:
    """Guards against refusing a shared part beside two bad ones, each in fewer crashes.

    Neither of these is suspected while the shared part explains all crashes.
    """
    clock = ManualClock(1_000.0)
    scheduler = make_entry_scheduler(clock, ENGINES)
    crash(scheduler.poison, 1, clock.now_ms(), FIRST, BAD)
    crash(scheduler.poison, 2, clock.now_ms(), FIRST, OTHER)
    assert scheduler.poison.verdict(BAD, clock.now_ms()) is Verdict.CLEAR
    clock.advance(PoisonBounds().propagation_ms)
    bad = make_prompt("r3", FIRST, BAD, now_ms=clock.now_ms())
    sound = make_prompt("r4", FIRST, CLUB, now_ms=clock.now_ms())
    assert start_first(bad, sound, clock=clock, scheduler=scheduler) == "r4"


def test_prompts_with_time_left_run_first() -> None:
    """Guards against runs of suspects that their deadlines cut off, and show nothing.

    Others of their parts wait meanwhile, until theirs have passed as well.
    """
    clock = ManualClock(1_000.0)
    scheduler = make_entry_scheduler(clock, ENGINES)
    crash(scheduler.poison, 1, clock.now_ms(), FIRST)
    clock.advance(PoisonBounds().propagation_ms)
    old, new = (
        make_prompt(name, FIRST, now_ms=clock.now_ms())._replace(
            arrived_ms=arrived_ms, deadline_ms=arrived_ms + 1_200.0
        )
        for name, arrived_ms in (
            ("r2", clock.now_ms() - 800.0),
            ("r3", clock.now_ms()),
        )
    )
    assert start_first(old, new, clock=clock, scheduler=scheduler) == "r3"


def test_suspect_that_waits_does_not_hold_up_others_of_its_customer() -> None:
    """Guards against sound prompts that wait behind one that runs apart."""
    clock = ManualClock(1_000.0)
    scheduler = make_entry_scheduler(clock, ENGINES)
    crash(scheduler.poison, 1, clock.now_ms(), BAD)
    clock.advance(PoisonBounds().propagation_ms)
    for name, part in (("r2", BAD), ("r3", BAD), ("r4", FIRST)):
        scheduler.submit(make_prompt(name, part, now_ms=clock.now_ms()))
    started = [item.request.request_id for item in scheduler.poll()]
    assert started == ["r4"]
    clock.advance(2 * PoisonBounds().propagation_ms)
    assert len(scheduler.poll()) == 1
    scheduler.submit(make_prompt("r5", FIRST, now_ms=clock.now_ms()))
    assert [item.request.request_id for item in scheduler.poll()] == ["r5"]


def test_vms_do_not_start_prompts_with_a_suspected_part_at_the_same_time() -> None:
    """Guards against a crash for each VM that waits for the same run to end."""
    starts_ms: list[float] = []
    for seed in range(8):
        clock = ManualClock(1_000.0)
        scheduler = make_scheduler(clock, ENGINES, seed=seed)
        crash(scheduler.poison, 1, clock.now_ms(), BAD)
        scheduler.submit(make_prompt("r2", BAD, now_ms=clock.now_ms()))
        while not scheduler.poll():
            clock.advance(20.0)
        starts_ms.append(clock.now_ms())
    assert max(map(starts_ms.count, starts_ms)) <= 4
    assert max(starts_ms) <= 1_000.0 + 2.0 * PoisonBounds().propagation_ms + 40.0


def test_part_of_an_answer_that_goes_on_is_not_blamed_for_the_end_of_its_engine() -> (
    None
):
    """Guards against suspecting the parts of all long answers on a crashed engine."""
    clock = ManualClock(1_000.0)
    scheduler = make_scheduler(clock, ("e0",))
    scheduler.submit(make_prompt("r1", FIRST))
    scheduler.submit(make_prompt("r2", CLUB))
    long, short = (item for item in scheduler.poll() if isinstance(item, Dispatch))
    scheduler.note_first_token(long.attempt_id)
    clock.advance(PoisonBounds().lived_ms)
    scheduler.note_lived(long.attempt_id)
    scheduler.note_first_token(short.attempt_id)
    for dispatch in (long, short):
        end = AttemptEnd(dispatch.attempt_id, AttemptFault.BROKEN, upstream="e0")
        scheduler.end_attempt(end)
    scheduler.fleet.observe_check("e0", Liveness.ENDED, clock.now_ms())
    assert scheduler.poison.n_crashes(FIRST, clock.now_ms()) == 0
    assert scheduler.poison.n_crashes(CLUB, clock.now_ms()) == 1


def test_prompt_with_a_refused_part_is_refused_at_once() -> None:
    clock = ManualClock(5_000.0)
    scheduler = make_scheduler(clock, ENGINES)
    for number in range(1, 4):
        crash(scheduler.poison, number, number * 1_000.0, BAD)
    failure = scheduler.submit(make_prompt("r9", FIRST, BAD, now_ms=5_000.0))
    assert failure is not None
    assert failure.reason is Reason.POISON_SUSPECTED
    assert failure.retry_after_ms == 3_000.0 + PoisonBounds().forget_ms - 5_000.0
    assert "request part-b" in failure.detail
    assert scheduler.submit(make_prompt("r8", FIRST, now_ms=5_000.0)) is None


__all__: tuple[str, ...] = ()
