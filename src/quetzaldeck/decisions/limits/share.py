"""Computes how much of a fleet-wide limit one VM may use."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence


class Allowance(NamedTuple):
    """What one VM may use of one limit.

    :param share: guaranteed to the VM: the limit divided by the number of VMs
    :param max_usage: share plus what the VM may borrow from the unused shares of others
    :param remaining: limit minus the known usage of the whole fleet
    """

    share: float
    max_usage: float
    remaining: float


def compute_allowance(
    limit: float,
    *,
    own: float,
    peers: Sequence[float],
    n_vms: int,
    borrower_threshold: float,
    may_borrow: bool,
) -> Allowance:
    """Divide a limit among VMs according to their usage.

    Each VM is guaranteed an equal share. The unused part of the other shares is divided
    among the VMs that use up their own, so that a customer whose requests all arrive at
    one VM gets nearly its whole limit there.

    :param own: usage at this VM
    :param peers: known usage at other VMs; a VM whose usage is unknown counts as
        using nothing
    :param borrower_threshold: part of its share from which a VM counts as a borrower
    :param may_borrow: whether this VM may use more than its share
    :returns: what this VM may use
    """
    share = limit / max(1, n_vms)
    remaining = limit - own - sum(peers)
    if not may_borrow:
        return Allowance(share, share, remaining)
    n_unknown = max(0, n_vms - 1 - len(peers))
    unused = n_unknown * share + sum(max(0.0, share - used) for used in peers)
    n_borrowers = 1 + sum(used >= borrower_threshold * share for used in peers)
    return Allowance(share, share + unused / n_borrowers, remaining)


def may_use(allowance: Allowance, own: float, cost: float) -> bool:
    """:returns: whether this VM may use ``cost`` more

    A VM may borrow only what the fleet as a whole has left: capacity that another
    VM has borrowed is returned only when the requests there end.
    """
    if own + cost <= allowance.share:
        return True
    return own + cost <= allowance.max_usage and cost <= allowance.remaining


__all__ = ("Allowance", "compute_allowance", "may_use")
