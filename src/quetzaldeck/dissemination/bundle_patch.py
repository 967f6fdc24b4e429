"""Patches between bundle versions, to be sent in place of full bundles.

Load pattern: 2,400 configuration changes a day, most of them for one or two customers,
in a bundle of up to a megabyte. In full they would exceed the control traffic that a
node may use; a patch takes a few hundred bytes.

A patch has to reproduce the payload byte for byte: the sender applies it and sends it
only if it does, and the recipient verifies the signature of the result like that of
any bundle.
"""

from __future__ import annotations

from typing import Any, NamedTuple

import msgspec

NAME_KEY = "name"


class ListPatch(NamedTuple):
    """Changes to a list of named items.

    :param order: names in their new order; ``None`` if names and order are unchanged
    :param changed: new and changed items, by name
    """

    order: list[str] | None
    changed: dict[str, Any]


class BundlePatch(NamedTuple):
    """Changes to a payload, which is a JSON object.

    :param values: new and changed members, as whole values
    :param removed: names of removed members
    :param lists: changes to members that are lists of named items
    """

    values: dict[str, Any]
    removed: list[str]
    lists: dict[str, ListPatch]


def make_patch(old: str, new: str) -> BundlePatch | None:
    """:returns: the patch from ``old`` to ``new``, ``None`` if none reproduces it"""
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
    """:returns: the new payload, ``None`` if the patch does not apply to ``old``"""
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
    """:returns: the items by name, ``None`` unless all have names, each a unique one"""
    if not isinstance(items, list):
        return None
    named = {
        item[NAME_KEY]: item
        for item in items
        if isinstance(item, dict) and NAME_KEY in item
    }
    return named if len(named) == len(items) else None


__all__ = ("BundlePatch", "ListPatch", "apply_patch", "make_patch")
