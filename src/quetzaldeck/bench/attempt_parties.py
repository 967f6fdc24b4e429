"""What attempts and engines need of the groups and splits that engines form.

These know their engines and the attempt, so that neither can know them by class.
"""

from __future__ import annotations

from typing import Protocol, TypeVar

EngineT = TypeVar("EngineT", contravariant=True)


class SilenceWatch(Protocol):
    """Watches an attempt for silence."""

    def note_token(self) -> None:
        """Restart the silence interval: a token arrived."""


class Reservation(Protocol[EngineT]):
    """Memory that a group of engines reserves for an attempt."""

    @property
    def reservation_id(self) -> str:
        """:returns: id of the reservation on each member"""

    def note_engine_lost(self, engine: EngineT) -> None:
        """Fail the attempt: a member crashed."""


class AttemptGroup(Protocol):
    """The group that runs an attempt."""

    @property
    def reservation_id(self) -> str:
        """:returns: id of the reservation on each member"""

    @property
    def n_context_tokens(self) -> int:
        """:returns: prompt tokens that the other members hold"""

    def release(self) -> None:
        """Release what the group holds."""


class AttemptSplit(Protocol):
    """The division of an attempt's prompt among engines."""

    def begin(self) -> None:
        """Send the parts to their engines."""


class PartOwner(Protocol[EngineT]):
    """The division that a part of a prompt belongs to."""

    def note_part_done(self) -> None:
        """Start to decode once all parts are done."""

    def note_engine_lost(self, engine: EngineT) -> None:
        """Fail the attempt after a while: a helper crashed."""

    def cancel(self) -> None:
        """Cancel the parts of all helpers."""


__all__ = (
    "AttemptGroup",
    "AttemptSplit",
    "PartOwner",
    "Reservation",
    "SilenceWatch",
)
