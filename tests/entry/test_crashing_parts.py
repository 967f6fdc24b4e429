"""Prompts that share a part on which engines end, and nothing else.

Each test is a cell of the table in ``docs/design/poison.md``: what the prompts have in
common, how the end of an engine shows, and how the VM that sent the prompt misses it.
"""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
import pytest
from tests.support.platform.crash_check import N_PART_CRASHES, CrashRecord
from tests.support.platform.crashing import CULPRIT, Ending
from tests.support.platform.crashing_parts import (
    SHARED_PART,
    IsCulprit,
    PartCallers,
    Prompt,
    add_engines,
    find_served_too_rarely,
)
from tests.support.platform.fleet import run_fleet

if TYPE_CHECKING:
    from collections.abc import Iterator

    from tests.support.platform.fleet import EntryFleet

N_VMS = 5
CALM_S = 1.5
"""How long sound prompts are sent before the first culprit."""

AFTER_S = 7.5
"""How long culprits are sent after their fifth crash, or the last one."""

MAX_CALM_S = 14.0
"""How long culprits are sent if none ends an engine."""

CULPRIT_INTERVAL_S = 0.25
SOUND_INTERVAL_S = 0.08
BAD = "bad"


class Sharing(NamedTuple):
    """What the prompts of each culprit have in common.

    :param culprits: by name, whether parts end an engine
    :param build: builds the parts of a culprit, given its name and number
    """

    culprits: dict[str, IsCulprit]
    build: Callable[[str, int], tuple[str, ...]]


def _has(*bad: str) -> IsCulprit:
    return lambda parts: set(bad) <= set(parts)


def _move(_: str, number: int) -> tuple[str, ...]:
    """:returns: parts with the bad one in another place each time"""
    own = [f"c{number}-{index}" for index in range(4)]
    return (*own[: number % 4], BAD, *own[number % 4 :])


SHARINGS = {
    "in_the_middle": Sharing(
        {CULPRIT: _has(BAD)}, lambda _, n: (SHARED_PART, BAD, f"c{n}", f"d{n}")
    ),
    "first": Sharing({CULPRIT: _has(BAD)}, lambda _, n: (BAD, f"c{n}", f"d{n}")),
    "in_another_place_each_time": Sharing({CULPRIT: _has(BAD)}, _move),
    "alone": Sharing({CULPRIT: _has(BAD)}, lambda _, n: (BAD, f"d{n}")),
    "beside_parts_of_sound_prompts": Sharing(
        {CULPRIT: _has(BAD)},
        lambda _, n: (SHARED_PART, f"club{n % 3}", BAD, f"session{n % 6}", f"d{n}"),
    ),
    "two_parts_each_enough": Sharing(
        {"bad1": _has("bad1"), "bad2": _has("bad2")},
        lambda name, n: (SHARED_PART, name, f"c{n}", f"d{n}"),
    ),
    "two_parts_in_each_prompt": Sharing(
        {CULPRIT: _has("bad1", "bad2")},
        lambda _, n: (SHARED_PART, "bad1", "bad2", f"d{n}"),
    ),
    "last_of_an_earlier_prompt": Sharing(
        {CULPRIT: _has("turn0")}, lambda _, n: (SHARED_PART, "turn0", f"d{n}")
    ),
}


class Caller(NamedTuple):
    """How the callers of culprits wait."""

    leaves_after_ms: float | None = None
    deadline_ms: int = 2_500


CALLERS = {
    "stays": Caller(),
    "leaves": Caller(leaves_after_ms=20.0),
    "deadline_passes": Caller(deadline_ms=20),
}


async def _send_sound(callers: PartCallers, group: asyncio.TaskGroup) -> None:
    """Send prompts that share parts, but none on which an engine ends."""
    for number in itertools.count():
        club, session = f"club{number % 3}", f"session{number % 6}"
        parts: tuple[str, ...] = (SHARED_PART, club, session, f"s{number}")
        if number % 5 == 4:
            parts = (f"own{number}", f"s{number}")
        if number == 0:
            parts = (SHARED_PART, "turn0")
        group.create_task(callers.send(Prompt(parts, "sound")))
        await asyncio.sleep(SOUND_INTERVAL_S)


async def _send_culprits(
    callers: PartCallers, sharing: Sharing, record: CrashRecord, caller: Caller
) -> None:
    """Send culprits in turn until all VMs must have stopped them.

    A crash that comes late is followed for as long as others.
    """
    loop = asyncio.get_running_loop()
    begin_s = loop.time()
    names: Iterator[str] = itertools.cycle(sharing.culprits)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            crashes_ms = [times[:5][-1] for times in record.crashes_ms.values()]
            end_s = begin_s + MAX_CALM_S
            if crashes_ms:
                end_s = max(crashes_ms) / 1_000 + AFTER_S
            if loop.time() > end_s:
                return
            name = next(names)
            prompt = Prompt(sharing.build(name, number), name)
            group.create_task(
                callers.send(
                    prompt,
                    leaves_after_ms=caller.leaves_after_ms,
                    deadline_ms=caller.deadline_ms,
                )
            )
            await asyncio.sleep(CULPRIT_INTERVAL_S / len(sharing.culprits))


def _check(sharing: Sharing, ending: Ending, caller: Caller) -> None:
    """Check that culprits are stopped and sound prompts are served."""

    async def test(fleet: EntryFleet) -> None:
        record = CrashRecord(N_PART_CRASHES)
        await add_engines(fleet, sharing.culprits, record, ending=ending)
        loop = asyncio.get_running_loop()
        async with aiohttp.ClientSession() as client:
            callers = PartCallers(fleet, client)
            async with asyncio.TaskGroup() as group:
                sound = group.create_task(_send_sound(callers, group))
                await asyncio.sleep(CALM_S)
                begin_ms = loop.time() * 1_000
                await _send_culprits(callers, sharing, record, caller)
                end_ms = loop.time() * 1_000
                sound.cancel()
        assert list(record.find_excess()) == []
        found = find_served_too_rarely(callers, record, "sound", begin_ms, end_ms)
        assert found == ""

    run_fleet(test, n_vms=N_VMS)


@pytest.mark.parametrize("ending", [Ending.REFUSES, Ending.RESETS, Ending.SILENT])
@pytest.mark.parametrize("sharing", SHARINGS)
def test_part_that_ends_engines_is_stopped_whatever_else_prompts_hold(
    sharing: str, ending: Ending
) -> None:
    """Engines go on ending, as no two of the prompts under which they end are alike."""
    _check(SHARINGS[sharing], ending, CALLERS["stays"])


@pytest.mark.parametrize("ending", [Ending.REFUSES, Ending.RESETS, Ending.SILENT])
@pytest.mark.parametrize("caller", ["leaves", "deadline_passes"])
def test_part_that_ends_engines_is_stopped_if_no_caller_waits(
    caller: str, ending: Ending
) -> None:
    """Engines go on ending, as the VMs that sent the prompts do not see their end."""
    _check(SHARINGS["in_the_middle"], ending, CALLERS[caller])


def test_sound_prompts_are_served_while_engines_end_for_other_reasons() -> None:
    """Prompts are refused for a part that all of them share, as their engines end."""

    async def test(fleet: EntryFleet) -> None:
        engines = await add_engines(fleet, {}, CrashRecord(N_PART_CRASHES))
        async with aiohttp.ClientSession() as client:
            callers = PartCallers(fleet, client)
            async with asyncio.TaskGroup() as group:
                for number in range(80):
                    parts = (SHARED_PART, "club", "session", f"s{number}")
                    group.create_task(callers.send(Prompt(parts, "sound")))
                    if number % 5 == 4:
                        engines[number // 5 % len(engines)].end()
                    await asyncio.sleep(SOUND_INTERVAL_S)
        answered = [outcome.is_answered for outcome in callers.outcomes["sound"]]
        assert answered.count(False) == 0

    run_fleet(test, n_vms=N_VMS)


def test_sound_prompts_are_served_after_all_engines_ended_at_once() -> None:
    """Prompts are refused for a part that ran on all engines as they lost power."""

    async def test(fleet: EntryFleet) -> None:
        engines = await add_engines(fleet, {}, CrashRecord(N_PART_CRASHES))
        async with aiohttp.ClientSession() as client:
            callers = PartCallers(fleet, client)
            async with asyncio.TaskGroup() as group:
                for number in range(40):
                    parts = (SHARED_PART, "club", f"s{number}")
                    group.create_task(callers.send(Prompt(parts, "sound")))
                await asyncio.sleep(0.05)
                for engine in engines:
                    engine.end()
            await asyncio.sleep(1.0)
            statuses = await asyncio.gather(
                *(
                    callers.send(Prompt((SHARED_PART, "club", f"t{number}"), "later"))
                    for number in range(40)
                )
            )
        assert statuses.count(200) == len(statuses)

    run_fleet(test, n_vms=N_VMS)


__all__: tuple[str, ...] = ()
