"""Reserves memory on all members of a group of engines, or on none."""

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
    """Reserves memory on all members or none, and always releases it on exit.

    :param plan: members in canonical order, and the tokens of each
    :param request_memory: requests tokens of a member; returns whether it reserved them
    :param release: queues the release of a member; it must outlive the handler, which
        is cancelled when its caller disconnects
    :param deadline_ms: monotonic time after which waiting is useless
    :param bounds: limits on the waits for members
    """

    def __init__(
        self,
        plan: GroupPlan,
        *,
        request_memory: Callable[[str, int], Awaitable[bool]],
        release: Callable[[str], None],
        clock: Clock,
        deadline_ms: float,
        bounds: GroupBounds | None = None,
    ) -> None:
        self._plan = plan
        self._request_memory = request_memory
        self._release = release
        self._clock = clock
        self._deadline_ms = deadline_ms
        self._bounds = bounds or GroupBounds()
        self._n_requested = 0

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

    def has_requested(self, name: str) -> bool:
        """:returns: whether memory was requested of a member"""
        return name in self._plan.upstreams[: self._n_requested]

    async def _reserve_all(self) -> None:
        """Reserve the members one by one, in the same order on all VMs.

        A VM that has reserved a member only waits for later members, so two VMs cannot
        deadlock.
        """
        n_members = len(self._plan.upstreams)
        remaining_ms = max(1.0, self._deadline_ms - self._clock.now_ms())
        wait_ms = self._bounds.member_wait_ms(remaining_ms, n_members)
        for name, n_tokens in zip(
            self._plan.upstreams, self._plan.reserved_tokens, strict=True
        ):
            self._n_requested += 1
            await self._reserve(name, n_tokens, wait_ms)

    async def _reserve(self, name: str, n_tokens: int, wait_ms: float) -> None:
        wait_until_ms = self._clock.now_ms() + wait_ms
        while not await self._request_memory(name, n_tokens):
            if self._clock.now_ms() >= wait_until_ms:
                detail = (
                    f"{name}: {n_tokens} tokens could not be reserved within "
                    f"{wait_ms:.0f} ms"
                )
                raise UpstreamError(
                    AttemptFault.NO_ROOM,
                    detail,
                    may_have_run=False,
                    was_sent=False,
                    upstream=name,
                )
            await asyncio.sleep(self._bounds.poll_interval_ms / 1_000)

    def _release_all(self) -> None:
        for name in self._plan.upstreams[: self._n_requested]:
            self._release(name)


__all__ = ("GroupReservation",)
