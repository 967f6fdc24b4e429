"""Where belief about the fleet comes from."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.belief.changes import SourceAnswer


class SourceError(Exception):
    """The source did not answer, or not with an answer."""


class HistoryDroppedError(SourceError):
    """The source no longer has the changes since the revision asked for."""


class BeliefSource(ABC):
    """Publishes the configuration and the replicas; it can only be read."""

    @abstractmethod
    async def read_all(self) -> SourceAnswer:
        """:returns: everything that is published

        :raises SourceError: if the source does not answer
        """

    @abstractmethod
    async def wait_for_changes(self, revision: int, wait_ms: int) -> SourceAnswer:
        """Wait until something changes.

        :param revision: changes after this one are asked for
        :param wait_ms: answer without changes after this time
        :raises HistoryDroppedError: if everything has to be read again
        :raises SourceError: if the source does not answer
        """


__all__ = ("BeliefSource", "HistoryDroppedError", "SourceError")
