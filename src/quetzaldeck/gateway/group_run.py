"""Runs one attempt under a reservation, on one engine or a group of engines."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.group_reservation import GroupReservation
from quetzaldeck.gateway.release_task import Release
from quetzaldeck.upstreams import (
    Export,
    PrefillPart,
    Reservation,
    UpstreamError,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from types import TracebackType

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.groups import GroupBounds, GroupPlan
    from quetzaldeck.upstreams import Attempt
    from quetzaldeck.upstreams.connections import Connections

LEASE_MARGIN_MS = 2_000.0
"""Added to the time for which members reserve memory, so that the end of the lease does
not abort an answer that is almost complete."""


class GroupRun:
    """Reserves memory on all members or none, and always releases it on exit.

    :param connections: adapters for the members
    :param release: queues a release
    :param plan: members of the group and the tokens of each
    :param attempt: the attempt as it would run on one engine
    """

    def __init__(
        self,
        connections: Connections,
        release: Callable[[Release], None],
        plan: GroupPlan,
        attempt: Attempt,
        clock: Clock,
        bounds: GroupBounds | None = None,
    ) -> None:
        self._connections = connections
        self._release = release
        self._plan = plan
        self._attempt = attempt
        self._clock = clock
        self._reservation_id = f"{attempt.attempt_id}.group"
        self._deadline_ms = clock.now_ms() + attempt.timeout_ms
        self._reservation = GroupReservation(
            plan,
            request_memory=self._request_memory,
            release=self._release_member,
            clock=clock,
            deadline_ms=self._deadline_ms,
            bounds=bounds,
        )

    async def __aenter__(self) -> GroupRun:
        await self._reservation.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._reservation.__aexit__(exc_type, exc, traceback)

    async def prefill(self) -> Attempt:
        """Prefill all prompt parts but the last, one after the other.

        :returns: the attempt to run on the last member
        :raises UpstreamError: if a member fails
        """
        texts = split_prompt(self._attempt.call.prompt, self._plan.prompt_tokens)
        imports: tuple[Export, ...] = ()
        for name, text in zip(self._plan.upstreams[:-1], texts[:-1], strict=True):
            part = PrefillPart(
                attempt_id=f"{self._attempt.attempt_id}.part{len(imports)}",
                owner=self._attempt.owner,
                reservation_id=self._reservation_id,
                model=self._attempt.call.model,
                adapter=self._attempt.call.adapter,
                priority=self._attempt.priority,
                timeout_ms=self._remaining_ms(),
                text=text,
                imports=imports,
            )
            async with self._connections.use_engine(name) as engine:
                imports = (*imports, await engine.prefill(part))
        return self._attempt._replace(
            timeout_ms=self._remaining_ms(),
            reservation_id=self._reservation_id,
            imports=imports,
            prompt_part=texts[-1] if imports else None,
        )

    async def _request_memory(self, name: str, n_tokens: int) -> bool:
        reservation = Reservation(
            self._reservation_id,
            self._attempt.owner,
            n_tokens,
            self._remaining_ms() + LEASE_MARGIN_MS,
        )
        try:
            async with self._connections.use_engine(name) as engine:
                return await engine.reserve(reservation)
        except UpstreamError as error:
            # Only memory was requested; the prompt has not been sent yet.
            raise UpstreamError(
                error.fault,
                str(error),
                may_have_run=False,
                upstream=error.upstream,
                retry_after_ms=error.retry_after_ms,
            ) from error

    def _release_member(self, name: str) -> None:
        self._release(Release(name, self._reservation_id))

    def _remaining_ms(self) -> float:
        return max(1.0, self._deadline_ms - self._clock.now_ms())


def split_prompt(prompt: str, prompt_tokens: Sequence[int]) -> list[str]:
    """:returns: the prompt split in proportion to the members' tokens"""
    total = sum(prompt_tokens)
    texts = []
    n_before = 0
    start = 0
    for n_tokens in prompt_tokens:
        n_before += n_tokens
        end = len(prompt) * n_before // total
        texts.append(prompt[start:end])
        start = end
    return texts


__all__ = ("GroupRun", "split_prompt")
