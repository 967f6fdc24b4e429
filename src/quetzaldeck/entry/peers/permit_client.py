"""Asks other VMs for permits to send requests to upstreams that limit their rate."""

from __future__ import annotations

import asyncio
from itertools import count
from typing import TYPE_CHECKING

from quetzaldeck.decisions.rate_limits import Permit
from quetzaldeck.entry.peers.messages import (
    LimitUpdate,
    PermitRequest,
    build_cold_update,
    build_limit_update,
)
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Container

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.cold_replicas import EffectiveLimit
    from quetzaldeck.entry.peers.messages import PermitAnswer
    from quetzaldeck.telemetry.upstream_metrics import UpstreamMetrics

    SendRequest = Callable[[str, PermitRequest], None]

ANSWER_TIMEOUT_MS = 200.0
"""An answer takes a round trip between two availability zones, and the time for which a
VM with half a processor does not run."""

UNAVAILABLE_MS = 1_000.0
"""Time for which a VM that did not answer, or issues no permits, gets no request."""


class PermitClient:
    """Sends permit requests to other VMs and matches their answers."""

    def __init__(self, clock: Clock, metrics: UpstreamMetrics) -> None:
        self._clock = clock
        self._metrics = metrics
        self._send: SendRequest | None = None
        self._numbers = count(1)
        self._answers: dict[int, asyncio.Future[PermitAnswer]] = {}
        self._unavailable_until_ms: dict[tuple[str, str], float] = {}

    def connect(self, send: SendRequest) -> None:
        """Use the connection to the other VMs.

        :param send: sends a request to the VM at an address
        """
        self._send = send

    async def ask(
        self, vm: str, limit: EffectiveLimit, max_wait_ms: float
    ) -> Permit | None:
        """Ask a VM for a permit.

        :param limit: the limit in force, as far as this VM knows
        :param max_wait_ms: how long the request can wait for its turn
        :returns: ``None`` if the VM issues none for the upstream or does not answer
        """
        upstream = limit.upstream
        now_ms = self._clock.uptime_ms()
        if self._send is None:
            return None
        if now_ms < self._unavailable_until_ms.get((vm, upstream), 0.0):
            return None
        number = next(self._numbers)
        update = _build_update(limit, now_ms)
        self._send(vm, PermitRequest(number, update, round(max_wait_ms, 1)))
        answer = await self._wait_for_answer(number)
        if answer is None:
            self._note_unavailable(vm, upstream, "no_answer")
            return None
        if not answer.is_issuer:
            self._note_unavailable(vm, upstream, "not_issuer")
            return None
        return Permit(answer.is_granted, answer.wait_ms)

    def note_answer(self, answer: PermitAnswer) -> None:
        """Pass on the answer of another VM; one that comes too late is unused."""
        future = self._answers.get(answer.number)
        if future is not None and not future.done():
            future.set_result(answer)

    def expire(self, upstreams: Container[str]) -> None:
        """Forget upstreams that are gone.

        :param upstreams: names of the upstreams that exist
        """
        for key in tuple(self._unavailable_until_ms):
            if key[1] not in upstreams:
                del self._unavailable_until_ms[key]

    async def _wait_for_answer(self, number: int) -> PermitAnswer | None:
        future = asyncio.get_running_loop().create_future()
        self._answers[number] = future
        try:
            async with RunningTimeout(ANSWER_TIMEOUT_MS):
                answer: PermitAnswer = await future
        except TimeoutError:
            return None
        finally:
            del self._answers[number]
        return answer

    def _note_unavailable(self, vm: str, upstream: str, why: str) -> None:
        until_ms = self._clock.uptime_ms() + UNAVAILABLE_MS
        self._unavailable_until_ms[vm, upstream] = until_ms
        self._metrics.permits.labels(why).inc()
        log_event("permit_issuer_unavailable", peer=vm, upstream=upstream, why=why)


def _build_update(limit: EffectiveLimit, now_ms: float) -> LimitUpdate:
    """:returns: what the sender of a permit request knows of the limit

    The issuer has heard of a limit that the upstream names as the sender has; whether
    the upstream is cold may be known to the sender only.
    """
    if limit.cold is not None:
        return build_cold_update(limit.cold, now_ms)
    if limit.stated is None:
        msg = f"{limit.upstream} has no limit to ask a permit for"
        raise ValueError(msg)
    return build_limit_update(limit.stated, now_ms)


__all__ = ("UNAVAILABLE_MS", "PermitClient")
