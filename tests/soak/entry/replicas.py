"""Replicas of the soak: they record what they run, and fail when told to."""

from __future__ import annotations

import asyncio
import json
from typing import TYPE_CHECKING

from tests.soak.entry.history import Run, now_ms
from tests.support.platform.replica import StandInReplica, build_head, event

if TYPE_CHECKING:
    import random

    from tests.soak.entry.history import History
    from tests.support.platform.replica import Arrival, Connection

N_EVENTS = 12
EVENT_MS = 15.0
WORK_MS = 8.0
SEAL = "Quetzaldeck-Response-Seal: mark"


class SoakReplica:
    """One incarnation of a replica.

    ``p_lost`` answers are lost after the run, ``p_extra`` come twice, ``p_refused``
    requests are not run, each a probability that faults set.
    """

    def __init__(
        self, replica_id: str, history: History, random_state: random.Random
    ) -> None:
        self.replica_id = replica_id
        self.server = StandInReplica(replica_id, self._behave)
        self.p_lost = 0.0
        self.p_extra = 0.0
        self.p_refused = 0.0
        self._slow_factor = 1.0
        self.held_until_ms: dict[str, float] = {}
        self._history = history
        self._random_state = random_state

    @property
    def is_mute(self) -> bool:
        """:returns: whether it takes requests and questions, and answers none"""
        return self.server.is_silent_on_reports

    @is_mute.setter
    def is_mute(self, is_mute: bool) -> None:
        self.server.is_silent_on_reports = is_mute

    def set_pace(self, pace: float) -> None:
        """Take so many times as long, and say so when asked."""
        self._slow_factor = pace
        self.server.pace = pace

    def n_held(self) -> int:
        """:returns: reservations that have neither ended nor lapsed"""
        now = now_ms()
        return sum(until > now for until in self.held_until_ms.values())

    async def _behave(self, arrival: Arrival, connection: Connection) -> None:
        if self.is_mute:
            await asyncio.sleep(3_600)
        if arrival.target == "/order":
            await self._take_order(arrival, connection)
            return
        is_other = arrival.headers["quetzaldeck-expect-instance"] != self.replica_id
        if is_other or self._happens(self.p_refused):
            await connection.answer_not_executed(
                arrival, status=421 if is_other else 503
            )
            return
        after = arrival.headers.get("last-event-id", "")
        owner = arrival.headers.get("quetzaldeck-tenant", "")
        run = Run(arrival.call_id, self.replica_id, now_ms(), owner, after)
        self._history.runs.append(run)
        if self._happens(self.p_lost):
            await asyncio.sleep(WORK_MS / 1_000)
            connection.reset()
            return
        if arrival.target.startswith("/plan/"):
            await self._stream(arrival, connection, int(after or "0"))
        else:
            await self._answer(arrival, connection)

    async def _answer(self, arrival: Arrival, connection: Connection) -> None:
        await asyncio.sleep(self._slow_factor * WORK_MS / 1_000)
        body = arrival.call_id.encode()
        head = build_head(arrival, 200, f"Content-Length: {len(body)}", SEAL)
        await connection.send(head + body)
        if self._happens(self.p_extra):
            await connection.send(head + body)

    async def _stream(
        self, arrival: Arrival, connection: Connection, first: int
    ) -> None:
        await connection.begin_stream(arrival)
        for number in range(first + 1, N_EVENTS + 1):
            await asyncio.sleep(self._slow_factor * EVENT_MS / 1_000)
            await connection.send_chunk(event(number, arrival.call_id + "."))
        await connection.end_stream()

    async def _take_order(self, arrival: Arrival, connection: Connection) -> None:
        order = json.loads(arrival.body)
        if order["op"] == "reserve":
            self.held_until_ms[order["id"]] = now_ms() + order["holdMs"]
        else:
            self.held_until_ms.pop(order["id"], None)
        await connection.answer(arrival, body=b'{"free":1}')

    def _happens(self, probability: float) -> bool:
        return self._random_state.random() < probability


def whole_stream(call_id: str) -> bytes:
    """:returns: the events that a caller has to get"""
    numbers = range(1, N_EVENTS + 1)
    return b"".join(event(number, call_id + ".") for number in numbers)


__all__ = ("SoakReplica", "whole_stream")
