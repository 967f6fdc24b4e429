"""Interface of the history checks, each of which checks one invariant."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from quetzaldeck.history.events import Event


class Bounds(NamedTuple):
    """Time limits of the invariants, in milliseconds.

    :param deadline_grace_ms: how long after its deadline a call may still end, for the
        time that its answer travels
    :param leaving_ms: time after which a leaving upstream gets no new work
    :param bundle_ms: time after which an accepted bundle is in force on every ready VM
    """

    deadline_grace_ms: float = 1_000.0
    leaving_ms: float = 3_000.0
    bundle_ms: float = 18_000.0


class Violation(NamedTuple):
    """One violation of an invariant.

    :param check: registered name of the check that found it
    :param line: line of the offending event in the history file, from 1
    :param message: description of the violation
    """

    check: str
    line: int
    message: str

    def render(self) -> str:
        """:returns: the violation as one line of text"""
        return f"line {self.line}: {self.check}: {self.message}"


class HistoryCheck(ABC):
    """Checks one invariant over a complete history."""

    def __init__(self, bounds: Bounds) -> None:
        self._bounds = bounds

    @abstractmethod
    def find(self, events: Sequence[Event]) -> Iterator[tuple[int, str]]:
        """Yield the index of each offending event, and a description."""


history_checks: Registry[HistoryCheck] = Registry("history check")


def check_history(
    events: Sequence[Event], bounds: Bounds | None = None
) -> list[Violation]:
    """:returns: the violations found by all registered checks, sorted by line"""
    violations = [
        Violation(name, index + 1, message)
        for name in history_checks.names
        for index, message in history_checks.get(name)(bounds or Bounds()).find(events)
    ]
    return sorted(violations, key=lambda violation: violation.line)


__all__ = ("Bounds", "HistoryCheck", "Violation", "check_history", "history_checks")
