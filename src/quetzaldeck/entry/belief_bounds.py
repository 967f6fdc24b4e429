"""Derives the age limits of the fleet state from the operators' settings."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.belief import BeliefBounds

if TYPE_CHECKING:
    from quetzaldeck.entry.settings import EntryBounds


def build_belief_bounds(bounds: EntryBounds) -> BeliefBounds:
    """:returns: how old this VM's fleet state may be under the configured bounds"""
    return BeliefBounds(bounds.key_revocation_ms, bounds.leaving_ms)


__all__ = ("build_belief_bounds",)
