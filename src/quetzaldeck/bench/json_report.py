"""Encodes the bench report as JSON; the field names of its classes become keys."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from quetzaldeck.bench.suite import BenchReport


def encode_report(report: BenchReport) -> bytes:
    """:returns: the report as indented JSON"""
    return msgspec.json.format(msgspec.json.encode(_name_fields(report)), indent=1)


def _name_fields(value: Any) -> Any:
    """:returns: ``value`` with named tuples as dicts

    msgspec would encode them as arrays, without the names of their fields.
    """
    if isinstance(value, tuple) and hasattr(value, "_asdict"):
        fields = value._asdict()
        return {name: _name_fields(item) for name, item in fields.items()}
    if isinstance(value, tuple):
        return [_name_fields(item) for item in value]
    if isinstance(value, dict):
        return {name: _name_fields(item) for name, item in value.items()}
    return value


__all__ = ("encode_report",)
