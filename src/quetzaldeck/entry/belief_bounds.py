"""How old belief may be, by what operators promise."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief import BeliefBounds

if TYPE_CHECKING:
    from quetzaldeck.entry.settings import EntryBounds


def build_belief_bounds(bounds: EntryBounds) -> BeliefBounds:
    """:returns: how old belief may be, by the operators' promises"""
    return BeliefBounds(bounds.key_revocation_ms, bounds.leaving_ms)


__all__ = ("build_belief_bounds",)
