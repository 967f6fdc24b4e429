"""Decides which allocations of an engine are orphaned and may be released. No I/O.

Engine memory leaks when the VM that allocated it dies: a connection may stay half-open
for hours, and a reservation or an export has no connection at all. Without reclaim each
crash would leak some memory permanently, until the engine could serve no request.

An allocation is released only on a proof, and a proof never becomes false later:

* Its owner, one incarnation of one gateway, is gone, as confirmed by the agent on the
  owner's VM (see :class:`OwnerRegistry`). The VM's id proves nothing because VM ids
  are reused. Silence or absence from the platform's list proves nothing either: both
  happen to a VM that is paused or behind a partition.
* Its deadline has passed by more than the largest clock skew. The owner drops a request
  at its deadline, even if it was paused and resumes late, so the memory is no longer in
  use. An id that contains no deadline is assumed to have the longest one allowed.

So two reclaimers of the same engine do no harm. One per engine is chosen by rendezvous
hashing only to limit the requests to the engine.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.attempts.expiry import read_expiry_ms
from quetzaldeck.reclaim.owners import OwnerState
from quetzaldeck.upstreams.attempt import RunningSequence

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.clock import Clock
    from quetzaldeck.reclaim.settings import ReclaimSettings
    from quetzaldeck.upstreams.attempt import Owner

MAX_REMEMBERED_OWNERS = 4_096


class Release(NamedTuple):
    """An allocation to release.

    :param why: ``owner_gone`` or ``deadline_passed``
    """

    allocation: RunningSequence
    why: str


class Reclaimer:
    """Remembers which owners are gone and selects the allocations to release."""

    def __init__(self, clock: Clock, settings: ReclaimSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._gone: dict[Owner, None] = {}
        self._queried_ms: dict[Owner, float] = {}

    def list_owners_to_query(
        self, allocations: Iterable[RunningSequence]
    ) -> tuple[Owner, ...]:
        """:returns: owners to query, least recently queried first"""
        owners = {
            allocation.owner
            for allocation in allocations
            if allocation.age_ms >= self._settings.min_age_ms
            and allocation.owner not in self._gone
        }
        by_last_query = sorted(
            owners,
            key=lambda owner: (self._queried_ms.get(owner, float("-inf")), owner),
        )
        chosen = by_last_query[: self._settings.max_questions]
        self._prune_queried(owners)
        for owner in chosen:
            self._queried_ms[owner] = self._clock.now_ms()
        return tuple(chosen)

    def note_owner_state(self, owner: Owner, state: OwnerState) -> None:
        """Record the state that the agent on the owner's VM reported."""
        if state is not OwnerState.GONE:
            return
        self._gone[owner] = None
        if len(self._gone) > MAX_REMEMBERED_OWNERS:
            del self._gone[next(iter(self._gone))]

    def list_releases(
        self, allocations: Sequence[RunningSequence]
    ) -> tuple[Release, ...]:
        """:returns: the allocations of an engine's current list that may be released"""
        releases = []
        for allocation in allocations:
            if allocation.age_ms < self._settings.min_age_ms:
                continue
            if allocation.owner in self._gone:
                releases.append(Release(allocation, "owner_gone"))
            elif self._is_expired(allocation):
                releases.append(Release(allocation, "deadline_passed"))
        return tuple(releases)

    def _is_expired(self, allocation: RunningSequence) -> bool:
        expiry_ms = read_expiry_ms(allocation.attempt_id)
        if expiry_ms is None:
            longest_ms = self._settings.max_deadline_ms + self._settings.clock_skew_ms
            return allocation.age_ms > longest_ms
        return self._clock.wall_ms() > expiry_ms + self._settings.clock_skew_ms

    def _prune_queried(self, owners: set[Owner]) -> None:
        if len(self._queried_ms) > MAX_REMEMBERED_OWNERS:
            self._queried_ms = {
                o: ms for o, ms in self._queried_ms.items() if o in owners
            }


def confirm_releases(
    releases: Iterable[Release], listed_again: Iterable[RunningSequence]
) -> tuple[Release, ...]:
    """:returns: the releases whose allocation the engine still lists unchanged

    Called immediately before the release, with a new list: an id that now belongs to
    another owner, or to a newer allocation, is not released.
    """
    ages_ms = {(a.attempt_id, a.owner): a.age_ms for a in listed_again}
    return tuple(
        release
        for release in releases
        if ages_ms.get((release.allocation.attempt_id, release.allocation.owner), -1.0)
        >= release.allocation.age_ms
    )


__all__ = ("Reclaimer", "Release", "confirm_releases")
