"""Base class of the sessions of the gateway and the entry."""

from __future__ import annotations

from abc import ABC, abstractmethod
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Generic, Self, TypeVar

from quetzaldeck.telemetry import GatewayMetrics

if TYPE_CHECKING:
    from types import TracebackType

    from quetzaldeck.clock import Clock

StateT = TypeVar("StateT")


class SessionBase(ABC, Generic[StateT]):
    """Owns the tasks and connections of a gateway or an entry while it runs.

    A subclass enters them on the exit stack in :meth:`open`; the stack closes them in
    reverse order.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stack = AsyncExitStack()
        self._state: StateT | None = None
        self.metrics = GatewayMetrics()

    @property
    def state(self) -> StateT:
        """:returns: the state that the handlers share

        :raises RuntimeError: if the session has not been entered
        """
        if self._state is None:
            msg = f"the {type(self).__name__} is not open; enter it first"
            raise RuntimeError(msg)
        return self._state

    async def __aenter__(self) -> Self:
        await self.open()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self._stack.aclose()

    @abstractmethod
    async def open(self) -> None:
        """Create the state and start the tasks."""


__all__ = ("SessionBase",)
