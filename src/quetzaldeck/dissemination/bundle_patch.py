"""What changed from one bundle to the next, to be sent in place of the whole.

Load pattern: 2,400 changes of configuration a day, most of them of a customer or
two, in a bundle of up to a megabyte. Sent whole, they exceed what a node may spend on
control; what changed is a few hundred bytes.

A patch rebuilds the payload byte by byte, or it is not used: whoever makes it tries
it first, and whoever applies it checks the signature over the result as always.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

NAME_KEY = "name"


class ListPatch(NamedTuple):
    """Change of a list whose items have names.

    :param order: names in the new order, ``None`` if the names are the same ones
    :param changed: items that are new or different, by name
    """

    order: list[str] | None
    changed: dict[str, Any]


class BundlePatch(NamedTuple):
    """Change of a payload.

    :param values: members that are new or different
    :param removed: members that are gone
    :param lists: members that are lists of named items
    """

    values: dict[str, Any]
    removed: list[str]
    lists: dict[str, ListPatch]


def make_patch(old: str, new: str) -> BundlePatch | None:
    """:returns: the patch from ``old`` to ``new``, ``None`` if it would not do"""
    before, after = msgspec.json.decode(old), msgspec.json.decode(new)
    if not isinstance(before, dict) or not isinstance(after, dict):
        return None
    patch = BundlePatch({}, sorted(set(before) - set(after)), {})
    for key, value in after.items():
        old_value = before.get(key)
        if old_value == value and key in before:
            continue
        old_items, new_items = _index_by_name(old_value), _index_by_name(value)
        if old_items is None or new_items is None:
            patch.values[key] = value
        else:
            patch.lists[key] = _diff_items(old_items, new_items)
    return patch if apply_patch(old, patch) == new else None


def apply_patch(old: str, patch: BundlePatch) -> str | None:
    """:returns: the new payload, ``None`` if the patch is not one of ``old``"""
    data = msgspec.json.decode(old)
    for key in patch.removed:
        data.pop(key, None)
    data |= patch.values
    for key, change in patch.lists.items():
        items = _index_by_name(data.get(key))
        if items is None:
            return None
        items |= change.changed
        order = list(items) if change.order is None else change.order
        if not set(order) <= set(items):
            return None
        data[key] = [items[name] for name in order]
    return msgspec.json.encode(data, order="sorted").decode()


def _diff_items(old: dict[str, Any], new: dict[str, Any]) -> ListPatch:
    changed = {
        name: item for name, item in new.items() if name not in old or old[name] != item
    }
    order = None if list(old) == list(new) else list(new)
    return ListPatch(order, changed)


def _index_by_name(items: Any) -> dict[str, Any] | None:
    """:returns: the items by name, ``None`` if they are not all named, once each"""
    if not isinstance(items, list):
        return None
    named = {
        item[NAME_KEY]: item
        for item in items
        if isinstance(item, dict) and NAME_KEY in item
    }
    return named if len(named) == len(items) else None


__all__ = ("BundlePatch", "ListPatch", "apply_patch", "make_patch")
