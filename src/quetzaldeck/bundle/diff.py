"""Differences between two bundles, entry by entry."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING, Any, NamedTuple

from quetzaldeck.config.document import join_place
from quetzaldeck.config.fields import is_section, list_fields

if TYPE_CHECKING:
    from collections.abc import Iterator

    from quetzaldeck.bundle.document import Bundle


class ChangeKind(StrEnum):
    """How a value differs between the bundles."""

    ADDED = "+"
    REMOVED = "-"
    CHANGED = "~"


class Change(NamedTuple):
    """One difference between two bundles.

    :param place: dotted path of the value; list entries are identified by name
    """

    kind: ChangeKind
    place: str
    old: Any = None
    new: Any = None

    def render(self) -> str:
        """:returns: the change as one line"""
        if self.kind is ChangeKind.CHANGED:
            return (
                f"{self.kind} {self.place}: {_render(self.old)} -> {_render(self.new)}"
            )
        value = self.new if self.kind is ChangeKind.ADDED else self.old
        shown = "" if _is_named(value) else f": {_render(value)}"
        return f"{self.kind} {self.place}{shown}"


def diff_bundles(old: Bundle, new: Bundle) -> tuple[Change, ...]:
    """:returns: the changes from ``old`` to ``new``, in the order of the document

    List entries are matched by name, so that moving an entry is not a change.
    """
    return tuple(_diff_sections(old, new, ""))


def _diff_sections(old: Any, new: Any, place: str) -> Iterator[Change]:
    cls: Any = type(old)
    for field, old_value, new_value in zip(list_fields(cls), old, new, strict=True):
        yield from _diff(old_value, new_value, join_place(place, field.name))


def _diff(old: Any, new: Any, place: str) -> Iterator[Change]:
    if old == new:
        return
    if is_section(type(old)):
        yield from _diff_sections(old, new, place)
    elif isinstance(old, tuple):
        yield from _diff_lists(old, new, place)
    else:
        yield Change(ChangeKind.CHANGED, place, old, new)


def _diff_lists(
    old: tuple[Any, ...], new: tuple[Any, ...], place: str
) -> Iterator[Change]:
    old_by_key = {_key_of(item): item for item in old}
    new_by_key = {_key_of(item): item for item in new}
    for key, item in old_by_key.items():
        if key not in new_by_key:
            yield Change(ChangeKind.REMOVED, _place_of_item(place, item), old=item)
        elif _is_named(item):
            item_place = _place_of_item(place, item)
            yield from _diff_sections(item, new_by_key[key], item_place)
    for key, item in new_by_key.items():
        if key not in old_by_key:
            yield Change(ChangeKind.ADDED, _place_of_item(place, item), new=item)


def _is_named(value: Any) -> bool:
    return is_section(type(value)) and hasattr(value, "name")


def _key_of(item: Any) -> Any:
    return item.name if _is_named(item) else item


def _place_of_item(place: str, item: Any) -> str:
    return f"{place}[{item.name}]" if _is_named(item) else place


def _render(value: Any) -> str:
    if is_section(type(value)):
        cls: Any = type(value)
        members = zip(list_fields(cls), value, strict=True)
        return ", ".join(f"{field.name}={_render(member)}" for field, member in members)
    return str(value)


__all__ = ("Change", "ChangeKind", "diff_bundles")
