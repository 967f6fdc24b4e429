"""What an engine holds for nobody, and may release. No I/O.

An engine's memory leaks when the VM that reserved it dies: the connection may stay
half-open for hours, a reservation or an export has no connection at all. Without
this every crash takes a little memory for good, until the engine serves nobody.

Something is released only on a proof, and each proof stays true once it is:

* its owner, one start of one gateway, is gone: its own agent vouches for that (see
  :class:`OwnerRegistry`). The name of the VM proves nothing, for a VM id is used
  again, and neither do silence nor the platform's list, for a paused VM and one
  behind a partition are silent and may be off the list;
* its deadline has passed, by more than clocks may differ. The owner drops a request
  at its deadline also when it wakes late, so nobody waits for it any more. An id
  that names no deadline is taken for one of the longest allowed.

So two reclaimers of one engine do no harm; there is one per engine, by rendezvous
hashing, only to spare the engine the questions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.expiry import read_expiry_ms
from quetzaldeck.reclaim.owners import OwnerState
from quetzaldeck.upstreams.attempt import RunningSequence

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.clock import Clock
    from quetzaldeck.reclaim.settings import ReclaimSettings
    from quetzaldeck.upstreams.attempt import Owner

MAX_REMEMBERED_OWNERS = 4_096


class Release(NamedTuple):
    """Something to be released.

    :param why: ``owner_gone`` or ``deadline_passed``
    """

    allocation: RunningSequence
    why: str


class Reclaimer:
    """Collects proofs about owners and judges what engines hold by them."""

    def __init__(self, clock: Clock, settings: ReclaimSettings) -> None:
        self._clock = clock
        self._settings = settings
        self._gone: dict[Owner, None] = {}
        self._queried_ms: dict[Owner, float] = {}

    def list_owners_to_query(
        self, allocations: Iterable[RunningSequence]
    ) -> tuple[Owner, ...]:
        """:returns: owners to ask about, those asked longest ago first"""
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
        """Take the answer of the agent on the owner's VM."""
        if state is not OwnerState.GONE:
            return
        self._gone[owner] = None
        if len(self._gone) > MAX_REMEMBERED_OWNERS:
            del self._gone[next(iter(self._gone))]

    def list_releases(
        self, allocations: Sequence[RunningSequence]
    ) -> tuple[Release, ...]:
        """:returns: what may be released of what an engine has just listed"""
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
    """:returns: the releases whose holding the engine still lists, unchanged

    Read immediately before the release: an id that has meanwhile come to belong to
    another owner, or to a new holding, is not touched.
    """
    now = {(h.attempt_id, h.owner): h.age_ms for h in listed_again}
    return tuple(
        release
        for release in releases
        if now.get((release.allocation.attempt_id, release.allocation.owner), -1.0)
        >= release.allocation.age_ms
    )


__all__ = ("Reclaimer", "Release", "confirm_releases")
