"""Decides when a suspected VM is confirmed dead."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.membership.view import MemberState

if TYPE_CHECKING:
    from collections.abc import Collection

    from quetzaldeck.membership.record import MemberRecord
    from quetzaldeck.membership.settings import MembershipSettings

PARTITION_FRACTION = 0.25


def is_confirmation_due(
    record: MemberRecord,
    list_read_ms: float | None,
    now_ms: float,
    settings: MembershipSettings,
) -> bool:
    """:returns: whether a VM has been suspected for long enough to be confirmed dead

    The wait is longer while the platform's list still names the VM: the list may lag
    behind, but the VM may also only be paused.
    """
    is_listed = record.is_listed or list_read_ms is None
    wait_ms = settings.confirm_listed_ms if is_listed else settings.confirm_ms
    return now_ms - record.since_ms >= wait_ms


def is_confirmation_withheld(
    record: MemberRecord,
    records: Collection[MemberRecord],
    now_ms: float,
    settings: MembershipSettings,
) -> bool:
    """:returns: whether the silence may come from a partition rather than a crash

    Without this check a VM that is cut off from the others would declare them all
    dead. If many members are suspected, but fewer than half, those that have been
    missing from the platform's list for ``confirm_listed_ms`` are still confirmed:
    the platform then considers them lost, too, e.g. with their zone.
    """
    n_suspected, n_members = _count_suspected(records)
    if n_suspected <= max(1, PARTITION_FRACTION * n_members):
        return False
    if 2 * n_suspected >= n_members:
        return True
    unlisted_ms = record.unlisted_ms
    return unlisted_ms is None or now_ms - unlisted_ms < settings.confirm_listed_ms


def _count_suspected(records: Collection[MemberRecord]) -> tuple[int, int]:
    """:returns: number of suspected members, and of members not dead, this VM included

    VMs that are only known from the platform's list are not counted.
    """
    known = [record for record in records if record.update.incarnation]
    n_suspected = sum(record.state is MemberState.SUSPECTED for record in known)
    n_dead = sum(record.state is MemberState.DEAD for record in known)
    return n_suspected, len(known) - n_dead + 1


__all__ = ("is_confirmation_due", "is_confirmation_withheld")
