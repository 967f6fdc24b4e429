"""Reserves memory for an attempt on the engines that hold parts of its prompt."""

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
    from quetzaldeck.routing import Replica

RENEWALS_PER_HOLD = 3
"""Renewals sent within one hold time, so that two may be lost."""

REPEAT_RELEASE_MS = 13_000.0
"""How long the release of an unanswered order is repeated: an engine may carry such an
order out up to 12 s after it was sent."""


class MemoryReservation:
    """A context manager that reserves memory, renews the reservation and releases it.

    Each order holds the memory for a short time only, so that it is soon free again if
    this VM dies.

    :param deadline_ms: monotonic time by which the response is due
    """

    def __init__(
        self, state: EntryState, dispatch: Dispatch, deadline_ms: float
    ) -> None:
        assert dispatch.plan is not None
        self._state = state
        self._plan = dispatch.plan
        self._reservation_id = dispatch.attempt_id.replace(",", "")
        self._hold_ms = state.settings.bounds.reservation_hold_ms
        self._unanswered: set[str] = set()
        self._incarnations: dict[str, str] = {}
        self._renewal: asyncio.Task[None] | None = None
        self._reservation = GroupReservation(
            dispatch.plan,
            request_memory=self._reserve,
            release=self._release,
            clock=state.clock,
            deadline_ms=deadline_ms,
            bounds=state.group_bounds,
        )

    async def __aenter__(self) -> MemoryReservation:
        # The hold time of the first member starts when its order arrives; it may need
        # renewal before the last member has responded.
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
        """:returns: the members, first the engine that the request is sent to"""
        replicas = self._state.belief.replicas
        return tuple(
            Helper(replicas[name].address, self._reservation_id)
            for name in reversed(self._plan.upstreams)
            if name in replicas
        )

    async def _reserve(self, name: str, n_tokens: int) -> bool:
        """:raises UpstreamError: also if a member gets nothing new any more"""
        replica = self._state.belief.replicas.get(name)
        if replica is None:
            return False
        self._state.availability.check((name,))
        return await self._order(replica, n_tokens)

    async def _order(self, replica: Replica, n_tokens: int) -> bool:
        """Order memory of a replica, or renew what it holds."""
        name = replica.replica_id
        self._incarnations.setdefault(name, replica.incarnation)
        try:
            is_held = await self._state.orders.reserve(
                replica, self._reservation_id, n_tokens, self._hold_ms
            )
        except UpstreamError as error:
            self._unanswered.add(name)
            # Only the reservation was attempted; the prompt itself was not sent.
            raise UpstreamError(
                error.fault,
                str(error),
                may_have_run=False,
                was_sent=False,
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
                if self._reservation.has_requested(name):
                    await self._renew_member(name, n_tokens)

    async def _renew_member(self, name: str, n_tokens: int) -> None:
        """Renew the reservation of one member; the next round retries a failure.

        The request continues meanwhile, as two of three renewals within a hold time may
        be lost. A member that has restarted is skipped: it lost the reservation with
        the prompt, and an order would reserve memory that the request cannot use.

        A member that leaves, or whose zone was evacuated, finishes what it runs, so its
        memory is renewed: otherwise the running request would be cut off.
        """
        replica = self._state.belief.replicas.get(name)
        if replica is None or replica.incarnation != self._incarnations.get(name):
            return
        try:
            await self._order(replica, n_tokens)
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
        repeat_ms = REPEAT_RELEASE_MS if name in self._unanswered else 0.0
        release = Release(name, self._reservation_id, repeat_ms)
        self._state.releases.send(release)


__all__ = ("MemoryReservation",)
