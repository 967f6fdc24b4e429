"""Rendezvous hashing: who does a job, without a vote."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable


def rank_members(key: str, vms: Iterable[str]) -> tuple[str, ...]:
    """:returns: ``vms``, the first choice for ``key`` first

    All agents that believe in the same VMs get the same order, and a VM that goes
    moves only the keys that it held.
    """
    return tuple(sorted(vms, key=lambda vm: (_score(key, vm), vm), reverse=True))


def choose_owner(key: str, vms: Iterable[str]) -> str:
    """:returns: the first choice for ``key``

    :raises ValueError: if there are no VMs
    """
    return max(vms, key=lambda vm: (_score(key, vm), vm))


def _score(key: str, vm: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{vm}".encode())


__all__ = ("choose_owner", "rank_members")
