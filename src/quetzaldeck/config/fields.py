"""Declared fields of settings classes, and the kind of value that each one takes."""

from __future__ import annotations

import types
from enum import Enum, auto
from functools import cache
from typing import (
    Annotated,
    Any,
    NamedTuple,
    Union,
    get_args,
    get_origin,
    get_type_hints,
)

from quetzaldeck.config.option import Option

PLAIN_OPTION = Option("")
"""Option of a field without an ``Option`` annotation."""


class Field(NamedTuple):
    """One declared field of a settings class.

    :param of_type: type of the value, without its ``Annotated`` wrapper
    :param default: default value; ``REQUIRED`` if the field has none
    """

    name: str
    of_type: Any
    option: Option
    default: Any


REQUIRED: Any = object()


@cache
def list_fields(cls: Any) -> tuple[Field, ...]:
    """:returns: the declared fields of a ``NamedTuple`` class, in order"""
    hints = get_type_hints(cls, include_extras=True)
    defaults = getattr(cls, "_field_defaults", {})
    fields = []
    for name in cls._fields:
        of_type, option = split_annotation(hints[name])
        fields.append(Field(name, of_type, option, defaults.get(name, REQUIRED)))
    return tuple(fields)


def split_annotation(hint: Any) -> tuple[Any, Option]:
    """:returns: the type of a hint without ``Annotated``, and its option"""
    if get_origin(hint) is not Annotated:
        return hint, PLAIN_OPTION
    of_type, *extras = get_args(hint)
    for extra in extras:
        if isinstance(extra, Option):
            return of_type, extra
    return of_type, PLAIN_OPTION


def is_section(of_type: Any) -> bool:
    """:returns: whether ``of_type`` is a section, i.e. a ``NamedTuple`` class"""
    return isinstance(of_type, type) and hasattr(of_type, "_fields")


class ValueKind(Enum):
    """Kinds of values; each has its own conversion in the checked loader."""

    OPTIONAL = auto()
    SECTION = auto()
    LIST = auto()
    MAPPING = auto()
    ANYTHING = auto()
    FLAG = auto()
    NUMBER = auto()
    TEXT = auto()
    PATH = auto()


_SCALARS = {
    Any: ValueKind.ANYTHING,
    bool: ValueKind.FLAG,
    int: ValueKind.NUMBER,
    float: ValueKind.NUMBER,
    str: ValueKind.TEXT,
}


@cache
def kind_of_value(of_type: Any) -> ValueKind:
    """:returns: the kind of value that ``of_type`` describes"""
    origin = get_origin(of_type)
    if origin in (Union, types.UnionType):
        return ValueKind.OPTIONAL
    if is_section(of_type):
        return ValueKind.SECTION
    if origin is tuple:
        return ValueKind.LIST
    if origin is dict:
        return ValueKind.MAPPING
    return _SCALARS.get(of_type, ValueKind.PATH)


__all__ = (
    "PLAIN_OPTION",
    "REQUIRED",
    "Field",
    "ValueKind",
    "is_section",
    "kind_of_value",
    "list_fields",
    "split_annotation",
)
