"""Callers whose balancer hands most new connections to one VM."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING, NamedTuple

from tests.support.platform.site import HOST

if TYPE_CHECKING:
    from collections.abc import Sequence

PATHS = ("/look/1", "/book/1", "/plan/1")
DEADLINE_MS = 2_000
CONNECT_S = 1.0
MAX_TRIES = 3


class Call(NamedTuple):
    """What a caller received.

    :param status: of the first attempt that a VM read; 0: it was closed unanswered
    :param n_unread: attempts before, on connections that were refused or closed unread
    """

    sent_ms: float
    status: int
    n_unread: int
    elapsed_ms: float


class SkewedCallers:
    """Opens a connection for each call, most of them to one VM.

    :param addresses: of all VMs
    :param share: of the first attempts that go to the first VM
    """

    def __init__(
        self,
        addresses: Sequence[str],
        key: str,
        *,
        share: float = 0.9,
        seed: float = 0.0,
    ) -> None:
        self._addresses = list(addresses)
        self._key = key
        self._share = share
        self._random_state = random.Random(seed)
        self._n_calls = 0
        self.calls: list[Call] = []

    async def send(
        self, duration_s: float, rate_per_s: float, *, is_skewed: bool = True
    ) -> None:
        """Send calls at random times, and wait until all have ended."""
        loop = asyncio.get_running_loop()
        due_s = loop.time()
        end_s = due_s + duration_s
        async with asyncio.TaskGroup() as group:
            while due_s < end_s:
                due_s += self._random_state.expovariate(rate_per_s)
                await asyncio.sleep(max(0.0, due_s - loop.time()))
                group.create_task(self._call(is_skewed=is_skewed))

    def answered_share(self, begin_ms: float, end_ms: float) -> float:
        """:returns: share of the calls of a time span whose first read was answered"""
        answered = [
            call.status == 200
            for call in self.calls
            if begin_ms <= call.sent_ms < end_ms
        ]
        return sum(answered) / max(1, len(answered))

    async def _call(self, *, is_skewed: bool) -> None:
        loop = asyncio.get_running_loop()
        sent_s = loop.time()
        self._n_calls += 1
        call_id = f"s{self._n_calls}"
        others = self._random_state.sample(self._addresses, len(self._addresses))
        if is_skewed and self._random_state.random() < self._share:
            others = sorted(others, key=lambda a: a != self._addresses[0])
        status: int | None = 0
        for n_unread, address in enumerate(others[:MAX_TRIES]):
            status = await self._try(address, f"{call_id}/{n_unread}")
            if status is not None:
                break
        elapsed_ms = (loop.time() - sent_s) * 1_000
        self.calls.append(Call(sent_s * 1_000, status or 0, n_unread, elapsed_ms))

    async def _try(self, address: str, call_id: str) -> int | None:
        """:returns: the status; ``None`` if the connection ended without any answer"""
        host, _, port = address.rpartition(":")
        path = self._random_state.choice(PATHS)
        request = (
            f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Quetzaldeck-Attempt-Id: {call_id}\r\n"
            f"Quetzaldeck-Deadline-Ms: {DEADLINE_MS}\r\n"
            f"Quetzaldeck-Key: {self._key}\r\nConnection: close\r\n"
            "Quetzaldeck-Token-Counts: 3000,100\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        try:
            async with asyncio.timeout(CONNECT_S):
                reader, writer = await asyncio.open_connection(host, int(port))
        except (OSError, TimeoutError):
            return None
        try:
            async with asyncio.timeout(DEADLINE_MS / 1_000):
                writer.write(request.encode())
                answer = await reader.read()
            return int(answer.split(b" ", 2)[1]) if answer else None
        except ConnectionError:
            return None
        except TimeoutError:
            return 0
        finally:
            writer.close()


__all__ = ("Call", "SkewedCallers")
