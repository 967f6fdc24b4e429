"""One attempt that runs under a reservation, on one engine or on a group."""

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
"""Added to the time for which members hold memory: cut off by the lease, an answer that
is nearly whole would be lost."""


class GroupRun:
    """Reserves all members or none; whatever happens, releases them on exit.

    :param connections: adapters to the members
    :param release: takes what is to be released
    :param plan: members and what each holds
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
        self._until_ms = clock.now_ms() + attempt.timeout_ms
        self._reservation = GroupReservation(
            plan,
            ask=self._ask,
            release=self._release_member,
            clock=clock,
            until_ms=self._until_ms,
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
        """Prefill all parts but the last, each after the ones before it.

        :returns: the attempt for the last member
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
                timeout_ms=self._left_ms(),
                text=text,
                imports=imports,
            )
            async with self._connections.use_engine(name) as engine:
                imports = (*imports, await engine.prefill(part))
        return self._attempt._replace(
            timeout_ms=self._left_ms(),
            reservation_id=self._reservation_id,
            imports=imports,
            prompt_part=texts[-1] if imports else None,
        )

    async def _ask(self, name: str, n_tokens: int) -> bool:
        reservation = Reservation(
            self._reservation_id,
            self._attempt.owner,
            n_tokens,
            self._left_ms() + LEASE_MARGIN_MS,
        )
        try:
            async with self._connections.use_engine(name) as engine:
                return await engine.reserve(reservation)
        except UpstreamError as error:
            # Memory was asked for and nothing else: the prompt has not left yet.
            raise UpstreamError(
                error.fault,
                str(error),
                may_have_run=False,
                upstream=error.upstream,
                retry_after_ms=error.retry_after_ms,
            ) from error

    def _release_member(self, name: str) -> None:
        self._release(Release(name, self._reservation_id))

    def _left_ms(self) -> float:
        return max(1.0, self._until_ms - self._clock.now_ms())


def split_prompt(prompt: str, prompt_tokens: Sequence[int]) -> list[str]:
    """:returns: the prompt cut in proportion to the members' tokens"""
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
