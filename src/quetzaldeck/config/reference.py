"""Reference pages of settings, generated from the declared options."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, get_args, get_origin

from quetzaldeck.config.fields import REQUIRED, is_section, list_fields

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.config.fields import Field
    from quetzaldeck.config.option import Option


def render_reference(title: str, cls: Any) -> str:
    """:returns: a Markdown table of all options of ``cls`` and its sections"""
    lines = [
        f"## {title}",
        "",
        "| key | type | unit | default | description |",
        "| --- | --- | --- | --- | --- |",
    ]
    lines.extend(_render_rows(cls, ""))
    return "\n".join([*lines, ""])


def _render_rows(cls: Any, prefix: str) -> Iterator[str]:
    for field in list_fields(cls):
        key = f"{prefix}{field.name}"
        inner = _section_of(field.of_type)
        is_list = get_origin(field.of_type) is tuple
        yield _render_row(key, field, inner)
        if inner is not None:
            yield from _render_rows(inner, f"{key}[]." if is_list else f"{key}.")


def _render_row(key: str, field: Field, inner: Any) -> str:
    default = _render_default(field, inner)
    option = field.option
    choices = f" One of: {', '.join(option.choices)}." if option.choices else ""
    form = f" Form: {option.form}." if option.form else ""
    return (
        f"| `{key}` | {_type_name(field.of_type)} | {option.unit} | {default} "
        f"| {option.description}{choices}{form}{_render_range(option)} |"
    )


def _render_default(field: Field, inner: Any) -> str:
    if field.default is REQUIRED:
        return "required"
    if field.default in (None, (), "") or field.default == {}:
        return "none"
    return f"`{field.default}`" if inner is None else "see below"


def _render_range(option: Option) -> str:
    least, most = option.minimum, option.maximum
    if most is not None:
        return f" {least or 0:g} to {most:g}."
    return f" At least {least:g}." if least else ""


def _section_of(of_type: Any) -> Any:
    if is_section(of_type):
        return of_type
    for argument in get_args(of_type):
        if is_section(argument):
            return argument
    return None


def _type_name(of_type: Any) -> str:
    if is_section(of_type):
        return "section"
    if get_origin(of_type) is tuple:
        return f"list of {_type_name(get_args(of_type)[0])}"
    if get_origin(of_type) is dict:
        return f"mapping to {_type_name(get_args(of_type)[1])}"
    arguments = [arg for arg in get_args(of_type) if arg is not type(None)]
    if arguments:
        return f"{_type_name(arguments[0])} or nothing"
    names = {"str": "text", "int": "whole number", "float": "number", "bool": "flag"}
    name: str = of_type.__name__
    return names.get(name, name.lower())


__all__ = ("render_reference",)
