"""Memory that one attempt sets aside on the engines that hold its prompt."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.entry.forwarding_parameters import Helper
from quetzaldeck.gateway.group_reservation import GroupReservation
from quetzaldeck.gateway.release_task import Release
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.entry.state import EntryState

RENEWALS_PER_HOLD = 3
"""Renewals within the time for which memory is held: two may be lost."""

LATE_ORDER_MS = 13_000.0
"""An order without an answer may be carried out up to twelve seconds later; it is taken
back again until then."""


class AttemptMemory:
    """A context manager: sets memory aside, renews it while used, and releases it.

    Memory is held for a short time at a time, so that it lapses soon if this VM dies.

    :param until_ms: monotonic time by which the request has to be answered
    """

    def __init__(self, state: EntryState, dispatch: Dispatch, until_ms: float) -> None:
        assert dispatch.plan is not None
        self._state = state
        self._plan = dispatch.plan
        self._reservation_id = dispatch.attempt_id.replace(",", "")
        self._hold_ms = state.settings.bounds.reservation_hold_ms
        self._unanswered: set[str] = set()
        self._asked: dict[str, str] = {}
        self._renewal: asyncio.Task[None] | None = None
        self._reservation = GroupReservation(
            dispatch.plan,
            ask=self._ask,
            release=self._release,
            clock=state.clock,
            until_ms=until_ms,
            bounds=state.group_bounds,
        )

    async def __aenter__(self) -> AttemptMemory:
        # Time runs from the first member's answer: it may need renewing before the
        # last one has given any.
        self._renewal = asyncio.create_task(self._renew())
        try:
            await self._reservation.__aenter__()
        except BaseException:
            await self._stop_renewing()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stop_renewing()
        await self._reservation.__aexit__(exc_type, exc, traceback)

    def list_helpers(self) -> tuple[Helper, ...]:
        """:returns: the members, the one that answers first"""
        replicas = self._state.belief.replicas
        return tuple(
            Helper(replicas[name].address, self._reservation_id)
            for name in reversed(self._plan.upstreams)
            if name in replicas
        )

    async def _ask(self, name: str, n_tokens: int) -> bool:
        replica = self._state.belief.replicas.get(name)
        if replica is None or replica.is_leaving:
            return False
        self._asked.setdefault(name, replica.incarnation)
        try:
            is_held = await self._state.orders.reserve(
                replica, self._reservation_id, n_tokens, self._hold_ms
            )
        except UpstreamError as error:
            self._unanswered.add(name)
            # Memory was asked for and nothing else: the prompt has not left yet.
            raise UpstreamError(
                error.fault,
                str(error),
                has_reached=False,
                has_arrived=False,
                upstream=name,
            ) from error
        log_event(
            "memory_reserved" if is_held else "memory_refused",
            reservation=self._reservation_id,
            upstream=name,
            n_tokens=n_tokens,
        )
        return is_held

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(self._hold_ms / RENEWALS_PER_HOLD / 1_000)
            members = zip(self._plan.upstreams, self._plan.reserved_tokens, strict=True)
            for name, n_tokens in members:
                if self._reservation.has_asked(name):
                    await self._renew_one(name, n_tokens)

    async def _renew_one(self, name: str, n_tokens: int) -> None:
        """Ask a member for more time; if it does not answer, the next round asks again.

        The request goes on meanwhile: two of three renewals within a hold may be lost.
        A member that has started again lost the memory with the prompt. Asked again it
        would set memory aside anew, for a request that cannot use it.
        """
        replica = self._state.belief.replicas.get(name)
        if replica is not None and replica.incarnation != self._asked.get(name):
            return
        try:
            await self._ask(name, n_tokens)
        except UpstreamError as error:
            log_event(
                "memory_not_renewed",
                reservation=self._reservation_id,
                upstream=name,
                error=error,
            )

    async def _stop_renewing(self) -> None:
        if self._renewal is not None:
            self._renewal.cancel()
            await asyncio.gather(self._renewal, return_exceptions=True)

    def _release(self, name: str) -> None:
        repeat_ms = LATE_ORDER_MS if name in self._unanswered else 0.0
        release = Release(name, self._reservation_id, repeat_ms)
        self._state.releases.send(release)


__all__ = ("AttemptMemory",)
