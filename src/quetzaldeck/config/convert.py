"""Conversion of plain data to typed values, with all findings collected."""

from __future__ import annotations

import math
import re
from collections.abc import Callable, Iterable
from functools import cache
from pathlib import Path
from typing import Any, NamedTuple, TypeVar, get_args

from quetzaldeck.config.document import Document, join_place
from quetzaldeck.config.fields import (
    PLAIN_OPTION,
    REQUIRED,
    Field,
    ValueKind,
    kind_of_value,
    list_fields,
)
from quetzaldeck.config.finding import Finding
from quetzaldeck.config.option import Option

T = TypeVar("T")
_Conversion = Callable[[Any, Any, Option, "ValuePath | None"], Any]

_QUANTITY = re.compile(r"^\s*([0-9.]+)\s*([A-Za-z]+)\s*$")
_MS_PER_UNIT = {"ms": 1, "s": 1_000, "sec": 1_000, "m": 60_000, "min": 60_000}
_BYTES_PER_UNIT = {"b": 1, "kb": 1_000, "mb": 1_000_000, "kib": 1_024, "mib": 1 << 20}
_FACTORS = {"ms": _MS_PER_UNIT, "bytes": _BYTES_PER_UNIT}
MAX_SHOWN_CHARACTERS = 80
_INVALID: Any = object()


class ValuePath(NamedTuple):
    """Path of a value in a document, as a linked list of keys.

    The text is built only for a finding: a bundle can have a hundred thousand values
    and usually has no finding.

    :param parent: path of the enclosing value; ``None`` at the top of the document
    :param key: key in a mapping, or index in a list
    """

    parent: ValuePath | None
    key: str | int

    def render(self) -> str:
        """:returns: the dotted path"""
        parent = "" if self.parent is None else self.parent.render()
        return join_place(parent, self.key)


class Converter:
    """Converts one document to a settings class.

    :param document: plain data with the line of each value
    :param findings: list to which every fault is appended
    :param base: folder against which relative file paths are resolved
    """

    def __init__(
        self, document: Document, findings: list[Finding], *, base: Path | None = None
    ) -> None:
        self._document = document
        self._findings = findings
        self._base = base
        self._by_kind: dict[ValueKind, _Conversion] = {
            ValueKind.OPTIONAL: self._convert_optional,
            ValueKind.SECTION: self._convert_section,
            ValueKind.LIST: self._convert_list,
            ValueKind.MAPPING: self._convert_mapping,
            ValueKind.ANYTHING: self._convert_anything,
            ValueKind.FLAG: self._convert_flag,
            ValueKind.NUMBER: self._convert_number,
            ValueKind.TEXT: self._convert_text,
            ValueKind.PATH: self._convert_path,
        }

    def convert(self, cls: type[T]) -> T | None:
        """:returns: the whole document as ``cls``; ``None`` if there were findings"""
        n_before = len(self._findings)
        value = self._convert_section(self._document.data, cls, PLAIN_OPTION, None)
        if len(self._findings) > n_before:
            return None
        return value  # type: ignore[no-any-return]

    def _add_finding(self, place: ValuePath | None, message: str) -> Any:
        text = "" if place is None else place.render()
        line = self._line_of(text)
        self._findings.append(Finding(text, message, line, self._document.source))
        return _INVALID

    def _line_of(self, place: str) -> int:
        while place and place not in self._document.lines:
            place = place.rpartition(".")[0]
        return self._document.lines.get(place, 0)

    def _convert(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        return self._by_kind[kind_of_value(of_type)](value, of_type, option, place)

    def _convert_optional(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if value is None:
            return None
        inner = next(arg for arg in get_args(of_type) if arg is not type(None))
        return self._convert(value, inner, option, place)

    def _convert_section(
        self, value: Any, cls: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if value is None and place is not None:
            # A template that omits all options of a section leaves a key without value.
            value = {}
        if not isinstance(value, dict):
            return self._add_finding(
                place, f"must be a mapping, not {_describe_type(value)}"
            )
        fields = list_fields(cls)
        self._check_keys(value, fields, place)
        members: dict[str, Any] = {}
        for field in fields:
            name = field.name
            if name in value:
                members[name] = self._convert(
                    value[name], field.of_type, field.option, ValuePath(place, name)
                )
            elif field.default is REQUIRED:
                message = f"is missing: {field.option.description}"
                members[name] = self._add_finding(ValuePath(place, name), message)
        if _has_invalid(members.values()):
            return _INVALID
        return cls(**members)

    def _check_keys(
        self, value: dict[str, Any], fields: tuple[Field, ...], place: ValuePath | None
    ) -> None:
        names = [field.name for field in fields]
        if value.keys() <= set(names):
            return
        # Only faulty settings need it, and callers wait for the start of a program.
        import difflib

        for key in value:
            if key in names:
                continue
            close = difflib.get_close_matches(str(key), names, n=1)
            hint = (
                f"did you mean {close[0]!r}?"
                if close
                else f"known keys: {', '.join(sorted(names))}"
            )
            self._add_finding(ValuePath(place, key), f"unknown key; {hint}")

    def _convert_list(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if not isinstance(value, list | tuple):
            return self._add_finding(
                place, f"must be a list, not {_describe_type(value)}"
            )
        item_type, item_option = _split_item_type(of_type, option)
        convert = self._by_kind[kind_of_value(item_type)]
        items = tuple(
            [
                convert(item, item_type, item_option, ValuePath(place, index))
                for index, item in enumerate(value)
            ]
        )
        if self._check_range(len(items), option, place, "items") is _INVALID:
            return _INVALID
        return _INVALID if _has_invalid(items) else items

    def _convert_mapping(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if not isinstance(value, dict):
            return self._add_finding(
                place, f"must be a mapping, not {_describe_type(value)}"
            )
        item_type = get_args(of_type)[1]
        members = {
            str(key): self._convert(
                item, item_type, PLAIN_OPTION, ValuePath(place, str(key))
            )
            for key, item in value.items()
        }
        return _INVALID if _has_invalid(members.values()) else members

    def _convert_anything(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        return value

    def _convert_flag(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if isinstance(value, bool):
            return value
        return self._add_finding(place, f"must be true or false, not {_shorten(value)}")

    def _convert_number(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if not _is_number(value, of_type):
            kind = "a whole number" if of_type is int else "a number"
            of_unit = f" of {option.unit}" if option.unit else ""
            hint = suggest_quantity(value, option.unit)
            shown = _shorten(value)
            return self._add_finding(
                place, f"must be {kind}{of_unit}, not {shown}{hint}"
            )
        return self._check_range(of_type(value), option, place, option.unit)

    def _convert_text(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if not isinstance(value, str):
            message = f"must be text, not {_shorten(value)}; put it in quotes"
            return self._add_finding(place, message)
        if option.choices and value not in option.choices:
            choices = ", ".join(option.choices)
            return self._add_finding(
                place, f"must be one of {choices}, not {_shorten(value)}"
            )
        if self._check_range(len(value), option, place, "characters") is _INVALID:
            return _INVALID
        if option.pattern and not re.fullmatch(option.pattern, value):
            return self._add_finding(
                place, f"must be {option.form}, not {_shorten(value)}"
            )
        return value

    def _convert_path(
        self, value: Any, of_type: Any, option: Option, place: ValuePath | None
    ) -> Any:
        if not isinstance(value, str):
            return self._add_finding(
                place, f"must be a file path, not {_shorten(value)}"
            )
        path = Path(value)
        if self._base is not None and not path.is_absolute():
            path = self._base / path
        return path

    def _check_range(
        self, value: Any, option: Option, place: ValuePath | None, unit: str
    ) -> Any:
        of_unit = f" {unit}" if unit else ""
        if option.minimum is not None and value < option.minimum:
            least = f"{option.minimum:g}{of_unit}"
            return self._add_finding(place, f"must be at least {least}, not {value}")
        if option.maximum is not None and value > option.maximum:
            most = f"{option.maximum:g}{of_unit}"
            return self._add_finding(place, f"must be at most {most}, not {value}")
        return value


@cache
def _split_item_type(of_type: Any, option: Option) -> tuple[Any, Option]:
    return get_args(of_type)[0], option._replace(minimum=None, maximum=None)


def _has_invalid(values: Iterable[Any]) -> bool:
    return any(value is _INVALID for value in values)


def _is_number(value: Any, of_type: Any) -> bool:
    if isinstance(value, bool) or not isinstance(value, int | float):
        return False
    if not math.isfinite(value):
        return False
    return of_type is float or int(value) == value


def _shorten(value: Any) -> str:
    text = repr(value)
    return (
        text
        if len(text) <= MAX_SHOWN_CHARACTERS
        else text[:MAX_SHOWN_CHARACTERS] + "..."
    )


def suggest_quantity(value: Any, unit: str) -> str:
    """Suggest a number for a quantity such as ``5s``.

    :param unit: unit in which the option expects its value
    :returns: hint for the end of a message; empty if ``value`` is not a quantity
    """
    match = _QUANTITY.match(value) if isinstance(value, str) else None
    factor = _FACTORS.get(unit, {}).get(match.group(2).lower()) if match else None
    if match is None or factor is None:
        return ""
    return f"; write {round(float(match.group(1)) * factor)}"


def _describe_type(value: Any) -> str:
    names = {dict: "a mapping", list: "a list", str: "text", type(None): "nothing"}
    return names.get(type(value)) or _shorten(value)


__all__ = ("Converter", "suggest_quantity")
