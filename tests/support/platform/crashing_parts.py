"""Engines that end on parts of prompts, and callers whose prompts share parts."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from typing import TYPE_CHECKING, NamedTuple

import aiohttp
from tests.support.platform.crash_check import GRACE_MS, Sending
from tests.support.platform.crashing import Ending
from tests.support.platform.replica import Fate, StandInReplica, event
from tests.support.platform.site import CUSTOMER, ENGINES, HOST, KEY, build_entry

if TYPE_CHECKING:
    from collections.abc import Mapping

    from tests.support.platform.crash_check import CrashRecord
    from tests.support.platform.fleet import EntryFleet
    from tests.support.platform.replica import Arrival, Connection

IsCulprit = Callable[[tuple[str, ...]], bool]
"""Whether an engine ends on a prompt; it is given all parts but the last."""

RUN_MS = 150.0
"""How long a sound request writes."""

UNTIL_CRASH_MS = 25.0
"""Time from the first event of a culprit to the end of its engine."""

RESTART_MS = 500.0
LAPSE_MS = 2_500.0
DEADLINE_MS = 2_500
SHARED_PART = "a0"
"""The first part of most prompts."""


class Prompt(NamedTuple):
    """What a caller sends.

    :param parts: ids of all parts, in order; the last belongs to this request
    :param name: of the group of callers that its outcome counts for
    """

    parts: tuple[str, ...]
    name: str
    key: str = KEY


class Outcome(NamedTuple):
    """The first attempt of a caller, and whether it was answered."""

    sent_ms: float
    is_answered: bool


class PartEngine:
    """An engine that ends 25 ms after it has begun to answer certain prompts.

    :param culprits: by name, whether prompts with certain parts end it; it is given all
        parts but the last
    :param ending: how its end shows
    """

    def __init__(
        self,
        fleet: EntryFleet,
        name: str,
        culprits: Mapping[str, IsCulprit],
        record: CrashRecord,
        ending: Ending,
    ) -> None:
        self.server = StandInReplica(name, self._handle)
        self._fleet = fleet
        self._name = name
        self._culprits = culprits
        self._record = record
        self._ending = ending
        self._numbers = itertools.count(2)
        self._has_ended = False
        self._tasks: set[asyncio.Task[None]] = set()

    def register(self) -> None:
        """Write the entry of this incarnation."""
        entry = build_entry(ENGINES, self.server.address, slots=16)
        self._fleet.store.put(f"servers/{self.server.replica_id}", entry)

    def end(self) -> None:
        """End as a process does that is killed, and start again elsewhere."""
        if self._has_ended:
            return
        self._has_ended = True
        fates = {Ending.RESETS: Fate.RESETS, Ending.SILENT: Fate.SILENT}
        self.server.crash(fates.get(self._ending, Fate.REFUSES))
        task = asyncio.create_task(self._start_elsewhere(self.server.replica_id))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        server = self.server
        if arrival.headers["quetzaldeck-expect-instance"] != server.replica_id:
            await connection.answer_not_executed(arrival, status=421)
            return
        entries = arrival.headers.get("quetzaldeck-prefix-hash", "").split(",")
        parts = tuple(entry.partition(":")[0] for entry in entries)[:-1]
        found = [name for name, matches in self._culprits.items() if matches(parts)]
        loop = asyncio.get_running_loop()
        for name in found:
            vm = arrival.call_id.partition("/")[0]
            self._record.sendings[name].append(Sending(loop.time() * 1_000, vm))
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1))
        await asyncio.sleep((UNTIL_CRASH_MS if found else RUN_MS) / 1_000)
        if self._has_ended or self.server is not server:
            return
        if found:
            for name in found:
                self._record.crashes_ms[name].append(loop.time() * 1_000)
            self.end()
            return
        await connection.send_chunk(event(2))
        await connection.end_stream()

    async def _start_elsewhere(self, before: str) -> None:
        await asyncio.sleep(RESTART_MS / 1_000)
        self.server = StandInReplica(
            f"{self._name}-{next(self._numbers)}", self._handle
        )
        await self._fleet.enter(self.server)
        self._has_ended = False
        self.register()
        await asyncio.sleep((LAPSE_MS - RESTART_MS) / 1_000)
        self._fleet.store.delete(f"servers/{before}")


class PartCallers:
    """Sends prompts to the VMs of a fleet, no two alike, and keeps the outcomes."""

    def __init__(self, fleet: EntryFleet, client: aiohttp.ClientSession) -> None:
        self._fleet = fleet
        self._client = client
        self._numbers = itertools.count()
        self._random_state = random.Random(0)
        self.outcomes: dict[str, list[Outcome]] = {}

    async def send(
        self,
        prompt: Prompt,
        *,
        host: str = "",
        leaves_after_ms: float | None = None,
        deadline_ms: int = DEADLINE_MS,
    ) -> int:
        """Send a prompt.

        :param host: the VM; any one by default
        :param leaves_after_ms: when the caller leaves; ``None``: it stays
        :returns: the status; 0 if the connection ended before the whole answer
        """
        number = next(self._numbers)
        host = host or self._random_state.choice(sorted(self._fleet.vms))
        draw = self._random_state.randint
        headers = {
            "Host": HOST,
            "Quetzaldeck-Attempt-Id": f"{host}/{number}",
            "Quetzaldeck-Deadline-Ms": str(deadline_ms),
            "Quetzaldeck-Key": prompt.key,
            "Quetzaldeck-Token-Counts": f"{draw(900, 1_400)},{draw(50, 120)}",
            "Quetzaldeck-Prefix-Hash": ",".join(
                f"{part}:{draw(50, 400)}" for part in prompt.parts
            ),
        }
        url = f"http://{self._fleet.vms[host].address}/plan/{number}"
        sent_ms = asyncio.get_running_loop().time() * 1_000
        status = 0
        try:
            async with (
                asyncio.timeout(leaves_after_ms and leaves_after_ms / 1_000),
                self._client.post(
                    url, data=f"question {number}", headers=headers
                ) as response,
            ):
                await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError):
            pass
        outcome = Outcome(sent_ms, status == 200)
        self.outcomes.setdefault(prompt.name, []).append(outcome)
        return status

    def answered_share(self, name: str, begin_ms: float, end_ms: float) -> float:
        """:returns: share of first attempts sent in a time span that were answered"""
        answered = [
            outcome.is_answered
            for outcome in self.outcomes[name]
            if begin_ms <= outcome.sent_ms < end_ms
        ]
        return sum(answered) / max(1, len(answered))


async def add_engines(
    fleet: EntryFleet,
    culprits: Mapping[str, IsCulprit],
    record: CrashRecord,
    *,
    ending: Ending = Ending.REFUSES,
    n_engines: int = 12,
) -> list[PartEngine]:
    """:returns: engines that all VMs of a fleet know"""
    engines = [
        PartEngine(fleet, f"engine{index}", culprits, record, ending)
        for index in range(n_engines)
    ]
    for engine in engines:
        await fleet.enter(engine.server)
        engine.register()
    fleet.store.delete("servers/e0")
    names = {engine.server.replica_id for engine in engines}
    await fleet.wait(
        lambda: all(
            names
            == {
                name
                for name, replica in vm.state.belief.replicas.items()
                if replica.service == ENGINES and not replica.is_leaving
            }
            for vm in fleet.vms.values()
        )
    )
    return engines


def find_served_too_rarely(
    callers: PartCallers, record: CrashRecord, name: str, begin_ms: float, end_ms: float
) -> str:
    """Compare sound first attempts before the crashes with those while they go on.

    :param begin_ms: when the first culprit was sent
    :param end_ms: when the last one was
    :returns: in what they are served too rarely; ``""``: they are not
    """
    last_ms = max(
        (times[:5][-1] for times in record.crashes_ms.values() if times),
        default=begin_ms,
    )
    settled_ms = last_ms + 2.0 * GRACE_MS
    if settled_ms >= end_ms:
        return f"{name}: the fifth crash is {end_ms - last_ms:.0f} ms before the end"
    before = callers.answered_share(name, 0.0, begin_ms)
    after = callers.answered_share(name, settled_ms, end_ms)
    return "" if after >= 0.5 * before else f"{name}: {before:.2f}, then {after:.2f}"


__all__ = (
    "CUSTOMER",
    "SHARED_PART",
    "IsCulprit",
    "Outcome",
    "PartCallers",
    "PartEngine",
    "Prompt",
    "add_engines",
    "find_served_too_rarely",
)
