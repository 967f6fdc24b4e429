"""Memory set aside on all members of a group, or on none."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.groups import GroupBounds
from quetzaldeck.upstreams import UpstreamError

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable
    from types import TracebackType

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.groups import GroupPlan


class GroupReservation:
    """Reserves all members or none; whatever happens, releases them on exit.

    :param plan: members in canonical order, and what each holds
    :param ask: asks a member for tokens; tells whether it has set them aside
    :param release: hands a member over to what releases it, which outlives a handler
        that is cancelled because its caller has gone
    :param until_ms: monotonic time at which waiting is of no use any more
    """

    def __init__(
        self,
        plan: GroupPlan,
        *,
        ask: Callable[[str, int], Awaitable[bool]],
        release: Callable[[str], None],
        clock: Clock,
        until_ms: float,
        bounds: GroupBounds | None = None,
    ) -> None:
        self._plan = plan
        self._ask = ask
        self._release = release
        self._clock = clock
        self._until_ms = until_ms
        self._bounds = bounds or GroupBounds()
        self._n_asked = 0

    async def __aenter__(self) -> GroupReservation:
        try:
            await self._reserve_all()
        except BaseException:
            self._release_all()
            raise
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._release_all()

    def has_asked(self, name: str) -> bool:
        """:returns: whether a member was asked for memory"""
        return name in self._plan.upstreams[: self._n_asked]

    async def _reserve_all(self) -> None:
        """Reserve member after member, in the order that all VMs keep.

        A VM that holds a member only ever waits for later ones, so two VMs cannot
        wait for each other.
        """
        n_members = len(self._plan.upstreams)
        left_ms = max(1.0, self._until_ms - self._clock.now_ms())
        wait_ms = self._bounds.member_wait_ms(left_ms, n_members)
        for name, n_tokens in zip(
            self._plan.upstreams, self._plan.reserved_tokens, strict=True
        ):
            self._n_asked += 1
            await self._reserve(name, n_tokens, wait_ms)

    async def _reserve(self, name: str, n_tokens: int, wait_ms: float) -> None:
        give_up_ms = self._clock.now_ms() + wait_ms
        while not await self._ask(name, n_tokens):
            if self._clock.now_ms() >= give_up_ms:
                detail = f"{name}: no room for {n_tokens} tokens in {wait_ms:.0f} ms"
                raise UpstreamError(
                    AttemptFault.NO_ROOM,
                    detail,
                    has_reached=False,
                    has_arrived=False,
                    upstream=name,
                )
            await asyncio.sleep(self._bounds.poll_interval_ms / 1_000)

    def _release_all(self) -> None:
        for name in self._plan.upstreams[: self._n_asked]:
            self._release(name)


__all__ = ("GroupReservation",)
