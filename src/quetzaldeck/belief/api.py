"""The interface of a source of the fleet state."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.belief.changes import SourceAnswer


class SourceError(Exception):
    """The source did not answer, or its answer was not valid."""


class HistoryDroppedError(SourceError):
    """The source has discarded the changes since the requested revision."""


class BeliefSource(ABC):
    """Read-only source of the configuration and the replicas."""

    @abstractmethod
    async def read_all(self) -> SourceAnswer:
        """:returns: the complete published state

        :raises SourceError: if the source does not answer
        """

    @abstractmethod
    async def wait_for_changes(self, revision: int, wait_ms: int) -> SourceAnswer:
        """Wait for changes, as a long poll.

        :param revision: only changes after this revision are requested
        :param wait_ms: time after which the source answers without changes
        :raises HistoryDroppedError: if the complete state has to be read again
        :raises SourceError: if the source does not answer
        """


__all__ = ("BeliefSource", "HistoryDroppedError", "SourceError")
