"""Replicas of the soak, which record what they run and fail on request."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tests.soak.entry.endless import Endless, pour
from tests.soak.entry.history import Culprit, Execution, Rest, now_ms
from tests.soak.entry.misleading import Misleader, Misleading
from tests.support.platform.crash_check import Sending
from tests.support.platform.rate_limit_check import Naming, Received
from tests.support.platform.replica import StandInReplica, event

if TYPE_CHECKING:
    from tests.soak.entry.world import SoakWorld
    from tests.support.platform.replica import Arrival, Connection

N_EVENTS = 12
EVENT_INTERVAL_MS = 15.0
RUN_MS = 8.0
LONG_CALL_PREFIX = "long"
N_LONG_EVENTS = 40
LONG_EVENT_INTERVAL_MS = 50.0
LONG_RUN_MS = 400.0
SEAL_FIELD = "Quetzaldeck-Response-Seal: mark"


class SoakReplica:
    """One incarnation of a replica.

    Faults set three probabilities: ``p_response_lost``, that a request runs but its
    response is lost; ``p_response_repeated``, that a response is sent twice;
    ``p_refused``, that a request is refused without running, with ``rest_s`` as its
    ``Retry-After`` if that is not 0. ``endless`` is what it sends without end in place
    of answers.
    """

    def __init__(self, replica_id: str, world: SoakWorld) -> None:
        history = world.history
        self._world = world
        self.replica_id = replica_id
        self.server = StandInReplica(replica_id, self._handle)
        self.p_response_lost = 0.0
        self.p_response_repeated = 0.0
        self.p_refused = 0.0
        self.rest_s = 0.0
        self.endless: Endless | None = None
        self.misleader: Misleader | None = None
        self._pace = 1.0
        self._has_crashed = False
        self.reserved_until_ms: dict[str, float] = {}
        self._history = history
        self._record = history.rate_limits[replica_id]
        self._random_state = world.random_state

    @property
    def is_mute(self) -> bool:
        """:returns: whether it accepts requests and queries but answers none"""
        return self.server.is_silent_on_reports

    @is_mute.setter
    def is_mute(self, is_mute: bool) -> None:
        self.server.is_silent_on_reports = is_mute

    def set_pace(self, pace: float) -> None:
        """Slow down by a factor, and report it as the replica's pace."""
        self._pace = pace
        self.server.pace = pace

    def n_reserved(self) -> int:
        """:returns: number of reservations neither released nor expired"""
        now = now_ms()
        return sum(end_ms > now for end_ms in self.reserved_until_ms.values())

    async def _handle(self, arrival: Arrival, connection: Connection) -> None:
        if self.is_mute:
            await asyncio.sleep(3_600)
        if arrival.target == "/order":
            await self._handle_order(arrival, connection)
            return
        if arrival.headers["quetzaldeck-expect-instance"] != self.replica_id:
            await connection.answer_not_executed(arrival, status=421)
            return
        self._record.received.append(Received(now_ms(), read_vm(arrival.call_id)))
        if self.server.is_leaving:
            told = self._history.told_leaving[self.replica_id]
            told.setdefault(read_vm(arrival.call_id), now_ms())
        misleader = self.misleader
        if misleader is not None and await misleader.spoil(arrival, connection):
            return
        if self._draw(self.p_refused):
            await self._refuse(arrival, connection)
            return
        after = arrival.headers.get("last-event-id", "")
        owner = arrival.headers.get("quetzaldeck-tenant", "")
        shape = Culprit(arrival.target, arrival.body, owner)
        culprit = self._world.culprits.get(shape)
        if culprit:
            await self._crash(culprit, arrival, connection)
            return
        if await self._crash_on_parts(arrival, connection):
            return
        self._note_execution(arrival, after)
        try:
            await self._run(arrival, connection, after)
        finally:
            ended = (self.replica_id, now_ms())
            self._history.work_ends[arrival.call_id].append(ended)

    def mislead(self, kind: Misleading) -> None:
        """Begin to spoil answers."""
        self.misleader = Misleader(kind, self._random_state, self._run_unanswered)

    async def _run_unanswered(self, arrival: Arrival) -> None:
        self._note_execution(arrival, arrival.headers.get("last-event-id", ""))
        await asyncio.sleep(RUN_MS / 1_000)

    def _note_execution(self, arrival: Arrival, after: str) -> None:
        owner = arrival.headers.get("quetzaldeck-tenant", "")
        execution = Execution(arrival.call_id, self.replica_id, now_ms(), owner, after)
        self._history.executions.append(execution)

    async def _refuse(self, arrival: Arrival, connection: Connection) -> None:
        if self.misleader is not None:
            self.misleader.note_rejected(arrival, connection)
        if not self.rest_s:
            await connection.answer_not_executed(arrival)
            return
        rest = Rest(read_vm(arrival.call_id), now_ms(), self.rest_s * 1_000)
        self._history.rests[self.replica_id].append(rest)
        await connection.answer_not_executed(arrival, rest=f"{self.rest_s:g}")

    async def _run(self, arrival: Arrival, connection: Connection, after: str) -> None:
        if self.endless is not None:
            await pour(self.endless, arrival, connection)
            return
        if self._draw(self.p_response_lost):
            await asyncio.sleep(RUN_MS / 1_000)
            connection.reset()
            return
        if arrival.target.startswith("/plan/"):
            await self._stream(arrival, connection, int(after or "0"))
        else:
            await self._answer(arrival, connection)

    async def _crash(
        self, culprit: str, arrival: Arrival, connection: Connection
    ) -> None:
        """Run a request that crashes this replica after a moment."""
        crashes = self._history.crashes
        sending = Sending(now_ms(), read_vm(arrival.call_id))
        crashes.sendings[culprit].append(sending)
        if arrival.target.startswith("/plan/"):
            await connection.begin_stream(arrival)
            await connection.send_chunk(event(1, arrival.call_id + "."))
        await asyncio.sleep(RUN_MS / 1_000)
        if self._world.replicas[self.replica_id] is self and not self._has_crashed:
            self._has_crashed = True
            crashes.crashes_ms[culprit].append(now_ms())
            self._world.crash_replica(self.replica_id, self._world.endings[culprit])

    async def _crash_on_parts(self, arrival: Arrival, connection: Connection) -> bool:
        """Crash if the prompt has a bad part that is not its last.

        :returns: whether it has
        """
        entries = arrival.headers.get("quetzaldeck-prefix-hash", "").split(",")
        parts = {entry.partition(":")[0] for entry in entries[:-1]}
        bad = sorted(parts & self._world.bad_parts)
        crashes = self._history.part_crashes
        for part in bad:
            sending = Sending(now_ms(), read_vm(arrival.call_id))
            crashes.sendings[part].append(sending)
        if not bad:
            return False
        await connection.begin_stream(arrival)
        await connection.send_chunk(event(1, arrival.call_id + "."))
        await asyncio.sleep(RUN_MS / 1_000)
        if self._world.replicas[self.replica_id] is self and not self._has_crashed:
            self._has_crashed = True
            for part in bad:
                crashes.crashes_ms[part].append(now_ms())
            self._world.crash_replica(self.replica_id, self._world.endings[bad[0]])
        return True

    async def _answer(self, arrival: Arrival, connection: Connection) -> None:
        run_ms = LONG_RUN_MS if is_long(arrival.call_id) else RUN_MS
        await asyncio.sleep(self._pace * run_ms / 1_000)
        body = arrival.call_id.encode()
        length = f"Content-Length: {len(body)}"
        self._note_naming(arrival)
        head = connection.build_head(arrival, 200, length, SEAL_FIELD)
        await connection.send(head + body)
        if self._draw(self.p_response_repeated):
            await connection.send(head + body)

    async def _stream(
        self, arrival: Arrival, connection: Connection, first: int
    ) -> None:
        self._note_naming(arrival)
        await connection.begin_stream(arrival)
        is_long_call = is_long(arrival.call_id)
        interval_ms = LONG_EVENT_INTERVAL_MS if is_long_call else EVENT_INTERVAL_MS
        for number in range(first + 1, count_events(arrival.call_id) + 1):
            await asyncio.sleep(self._pace * interval_ms / 1_000)
            await connection.send_chunk(event(number, arrival.call_id + "."))
        await connection.end_stream()

    async def _handle_order(self, arrival: Arrival, connection: Connection) -> None:
        order = json.loads(arrival.body)
        if order["op"] == "reserve":
            self.reserved_until_ms[order["id"]] = now_ms() + order["holdMs"]
        else:
            self.reserved_until_ms.pop(order["id"], None)
        await connection.answer(arrival, body=b'{"free":1}')

    def _note_naming(self, arrival: Arrival) -> None:
        naming = Naming(now_ms(), read_vm(arrival.call_id), self.server.rate_limit)
        self._record.namings.append(naming)

    def _draw(self, probability: float) -> bool:
        return self._random_state.random() < probability


def read_vm(call_id: str) -> str:
    """:returns: name of the VM that a call was sent to"""
    return call_id.partition("/")[0]


def is_long(call_id: str) -> bool:
    """:returns: whether a call takes long enough to be hit by faults of a second"""
    return call_id.rpartition("/")[2].startswith(LONG_CALL_PREFIX)


def count_events(call_id: str) -> int:
    """:returns: number of events of a call's stream"""
    return N_LONG_EVENTS if is_long(call_id) else N_EVENTS


def build_complete_stream(call_id: str) -> bytes:
    """:returns: body of a complete stream, as its caller must receive it"""
    numbers = range(1, count_events(call_id) + 1)
    return b"".join(event(number, call_id + ".") for number in numbers)


__all__ = ("LONG_CALL_PREFIX", "SoakReplica", "build_complete_stream")
