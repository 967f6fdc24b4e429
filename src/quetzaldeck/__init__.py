"""Serving layer between callers and model engines."""

from __future__ import annotations

from quetzaldeck.version import __version__

__all__ = ("__version__",)
