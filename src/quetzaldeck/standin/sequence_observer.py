"""Observer of the sequences of a stand-in engine."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.upstreams.attempt import Owner


class SequenceObserver:
    """Notified of each sequence; the base class ignores all notifications."""

    def note_started(self, attempt_id: str, owner: Owner) -> None:
        """Handle that the engine accepted a sequence."""

    def note_ended(self, attempt_id: str) -> None:
        """Handle that the engine released a sequence."""


__all__ = ("SequenceObserver",)
