"""Fast decoding of JSON that is expected to be valid.

The checked loader (:mod:`quetzaldeck.config.convert`) visits each value in Python. For
a bundle with thousands of customers, that blocks a gateway's event loop. This module
compiles the declared options to msgspec types, which check the same types, ranges and
choices. Decoding stops at the first fault; the checked loader then reports all of them.
"""

from __future__ import annotations

import types
from functools import cache
from typing import Annotated, Any, Literal, TypeVar, Union, get_args, get_origin

import msgspec

from quetzaldeck.config.fields import REQUIRED, is_section, list_fields
from quetzaldeck.config.option import Option
from quetzaldeck.json_decoder import JsonDecoder

T = TypeVar("T")


def decode_fast(data: bytes, cls: type[T]) -> T:
    """Decode JSON.

    :param data: JSON text
    :param cls: ``NamedTuple`` class that declares the options
    :returns: an instance of ``cls``
    :raises msgspec.DecodeError: at the first fault
    """
    of_type: Any = cls
    value: T = _build(_decoder_of(of_type).decode(data), of_type)
    return value


@cache
def _decoder_of(cls: Any) -> JsonDecoder[Any]:
    return JsonDecoder(_struct_of(cls))


@cache
def _struct_of(cls: Any) -> Any:
    """:returns: a msgspec struct class with the fields and limits of ``cls``"""
    fields: list[Any] = []
    for field in list_fields(cls):
        of_type = _type_of(field.of_type, field.option)
        if field.default is REQUIRED:
            fields.append((field.name, of_type))
        else:
            fields.append((field.name, of_type, field.default))
    return msgspec.defstruct(
        cls.__name__, fields, forbid_unknown_fields=True, kw_only=True
    )


def _type_of(of_type: Any, option: Option) -> Any:
    origin = get_origin(of_type)
    if is_section(of_type):
        return _struct_of(of_type)
    if origin in (Union, types.UnionType):
        inner = next(arg for arg in get_args(of_type) if arg is not type(None))
        return Union[_type_of(inner, option), None]  # noqa: UP007 - built at run time
    if origin is tuple:
        item = option._replace(minimum=None, maximum=None)
        item_type = _type_of(get_args(of_type)[0], item)
        return _limit_length(types.GenericAlias(tuple, (item_type, ...)), option)
    if origin is dict:
        item_type = _type_of(get_args(of_type)[1], Option(""))
        return types.GenericAlias(dict, (str, item_type))
    if of_type is str and option.choices:
        return Literal[option.choices]
    if of_type in (int, float):
        return Annotated[of_type, msgspec.Meta(ge=option.minimum, le=option.maximum)]
    return _limit_length(of_type, option)


def _limit_length(of_type: Any, option: Option) -> Any:
    if option.minimum is None and option.maximum is None and not option.pattern:
        return of_type
    least = None if option.minimum is None else int(option.minimum)
    most = None if option.maximum is None else int(option.maximum)
    pattern = rf"^(?:{option.pattern})\Z" if option.pattern else None
    return Annotated[
        of_type, msgspec.Meta(min_length=least, max_length=most, pattern=pattern)
    ]


@cache
def _list_inner_sections(cls: Any) -> tuple[tuple[int, Any], ...]:
    """:returns: index and class of each field that is one section or a list of them"""
    inner = []
    for index, field in enumerate(list_fields(cls)):
        for candidate in (field.of_type, *get_args(field.of_type)):
            if is_section(candidate):
                inner.append((index, candidate))
    return tuple(inner)


def _build(struct: Any, cls: Any) -> Any:
    """:returns: the values of a decoded struct as an instance of the settings class"""
    values = list(msgspec.structs.astuple(struct))
    for index, inner in _list_inner_sections(cls):
        value = values[index]
        if isinstance(value, msgspec.Struct):
            values[index] = _build(value, inner)
        elif isinstance(value, tuple) and not isinstance(value, inner):
            values[index] = tuple(_build(item, inner) for item in value)
    return cls(*values)


__all__ = ("decode_fast",)
