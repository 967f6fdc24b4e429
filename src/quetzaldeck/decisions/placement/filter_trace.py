"""Records what each filter of a placement excludes."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.placement.exclusion import Exclusion
    from quetzaldeck.decisions.upstream_state import UpstreamState


class FilterTrace:
    """Upstreams that passed the first filters, and those that a later one excluded."""

    def __init__(self) -> None:
        self.candidates: frozenset[str] = frozenset()
        self.excluded: dict[str, Exclusion] = {}

    def note_candidates(self, candidates: Sequence[UpstreamState]) -> None:
        """Record the upstreams that can accept the request."""
        self.candidates = frozenset(state.spec.name for state in candidates)

    def note_filter(
        self,
        exclusion: Exclusion,
        before: Sequence[UpstreamState],
        after: Sequence[UpstreamState],
    ) -> None:
        """Record the upstreams that one filter excludes."""
        remaining = {state.spec.name for state in after}
        for state in before:
            if state.spec.name not in remaining:
                self.excluded[state.spec.name] = exclusion


__all__ = ("FilterTrace",)
