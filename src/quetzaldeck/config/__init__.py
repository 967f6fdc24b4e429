"""Typed loading of settings and bundles from declared options."""

from __future__ import annotations

from quetzaldeck.config.finding import Finding, FindingsError, raise_findings
from quetzaldeck.config.loader import check_file, load_data, load_file, load_text
from quetzaldeck.config.option import Option

__all__ = (
    "Finding",
    "FindingsError",
    "Option",
    "check_file",
    "load_data",
    "load_file",
    "load_text",
    "raise_findings",
)
