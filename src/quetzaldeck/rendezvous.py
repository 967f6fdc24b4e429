"""Rendezvous hashing: assigns keys to VMs without any coordination."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_members(key: str, vms: Iterable[str]) -> tuple[str, ...]:
    """Rank VMs for a key.

    Agents that know the same VMs compute the same order. When a VM disappears, only
    the keys that it owned move to another VM.

    :returns: ``vms`` by descending preference for ``key``
    """
    return tuple(sorted(vms, key=lambda vm: (_score(key, vm), vm), reverse=True))


def choose_owner(key: str, vms: Iterable[str]) -> str:
    """Choose the VM that owns a key: the first one of :func:`rank_members`.

    :returns: the owner of ``key``

    :raises ValueError: if ``vms`` is empty
    """
    return max(vms, key=lambda vm: (_score(key, vm), vm))


def _score(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())


__all__ = ("choose_owner", "rank_members")
