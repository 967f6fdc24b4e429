"""Which VMs vote on which keys.

In a small fleet every VM votes on every key. At 410 VMs a claim would then cost 410
votes, and each VM would hold the claims of all. So keys fall into groups, and each
group has a few voters: the first by rendezvous hashing, taken zone by zone, so that
a VM that comes or goes changes few groups, and the loss of a zone leaves a majority
of each group.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.rendezvous import rank_members

if TYPE_CHECKING:
    from collections.abc import Mapping

_DIGITS = 8


def group_of(key: str, n_groups: int) -> int:
    """:returns: the group of a claim's key

    :param key: in hexadecimal, as :func:`hash_claim_key` gives it
    """
    return int(key[:_DIGITS], 16) % n_groups


def choose_voters(
    group: int, zones: Mapping[str, str], max_voters: int
) -> frozenset[str]:
    """:returns: the VMs that shall vote on the keys of a group

    :param zones: availability zone of each VM
    :param max_voters: all VMs vote if there are no more than this
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
