"""Shortest gap between tokens that the callers of each model accept.

Load pattern: long prompts at a VM that has just started, or that gets few requests. An
engine stops its running answers while it prefills a part of a prompt, so the largest
permitted part follows from the shortest gap that any of their callers accepts. These
callers may use other VMs. If each VM relied on the requests that it has seen, it would
send parts sized for the callers of long prompts until its first short request.

The gaps are stated by the bundle, so that all VMs agree on them from the start.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import Bundle

DEFAULT_GAP_MS = 250.0
"""Gap assumed for a model whose bundle states none; a reader's pace."""


class TokenGaps:
    """Gaps of the models of the bundle in force."""

    def __init__(self) -> None:
        self._gaps_ms: dict[str, float] = {}

    def configure(self, bundle: Bundle) -> None:
        """Replace the gaps by those of a new bundle."""
        self._gaps_ms = {
            model.name: model.max_gap_ms for model in bundle.models if model.max_gap_ms
        }

    def shortest_ms(self, model: str) -> float:
        """:returns: shortest gap that any caller of the model accepts"""
        return self._gaps_ms.get(model, DEFAULT_GAP_MS)


__all__ = ("DEFAULT_GAP_MS", "TokenGaps")
