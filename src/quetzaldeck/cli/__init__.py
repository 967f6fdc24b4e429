"""Command-line interfaces of the programs."""

from __future__ import annotations

__all__ = ()
