"""Assignment of keys to groups, and of voters to groups.

In a small fleet every VM votes on every key. With 410 VMs each claim would then cost
410 votes, and each VM would store the claims of the whole fleet. So keys are hashed
into groups with a few voters each. The voters are the highest ranked VMs by rendezvous
hashing, taken from the availability zones in turn: a VM that is added or removed
changes few groups, and the loss of a zone leaves a majority of each group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.rendezvous import rank_members

if TYPE_CHECKING:
    from collections.abc import Mapping

_DIGITS = 8


def group_of(key: str, n_groups: int) -> int:
    """:returns: the group that a claim's key belongs to

    :param key: hexadecimal digest from :func:`hash_claim_key`
    """
    return int(key[:_DIGITS], 16) % n_groups


def choose_voters(
    group: int, zones: Mapping[str, str], max_voters: int
) -> frozenset[str]:
    """:returns: the VMs that should vote on the keys of a group

    :param zones: availability zone of each VM
    :param max_voters: if there are no more VMs than this, all of them vote
    """
    if len(zones) <= max_voters:
        return frozenset(zones)
    queues: dict[str, list[str]] = {}
    for vm in rank_members(f"claims/{group}", zones):
        queues.setdefault(zones[vm], []).append(vm)
    chosen: list[str] = []
    while len(chosen) < max_voters:
        for queue in queues.values():
            if queue and len(chosen) < max_voters:
                chosen.append(queue.pop(0))
    return frozenset(chosen)


__all__ = ("choose_voters", "group_of")
