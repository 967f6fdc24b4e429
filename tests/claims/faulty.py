"""Faulty variants of the protocol, which the checks must detect."""

from __future__ import annotations

from typing import TYPE_CHECKING

from tests.claims.model import (
    Attempt,
    ModelFleet,
    ModelVm,
    UncheckedRemovalFleet,
    UncheckedRemovalVoter,
)

from quetzaldeck.claims import Voter, VoterSetChain
from quetzaldeck.claims.abstention_period import AbstentionPeriod
from quetzaldeck.claims.chain import Commit
from quetzaldeck.registry import Registry

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.claims import (
        SyncReply,
        SyncRequest,
        VoterSet,
    )

faulty_fleets: Registry[ModelFleet] = Registry("faulty fleet")


def fleet_of(voter_class: type[Voter]) -> type[ModelFleet]:
    """:returns: a fleet whose voters are of ``voter_class``"""
    vm_class = type("FaultyVm", (ModelVm,), {"voter_class": voter_class})
    return type("FaultyFleet", (ModelFleet,), {"vm_class": vm_class})


@faulty_fleets.register("own_view_quorum")
class OwnViewQuorum(UncheckedRemovalFleet):
    """The claimant needs a majority only of the VMs in its own view."""

    def count(self, attempt: Attempt) -> bool:
        super().count(attempt)
        n_expected = len(attempt.vm.voter.peers - attempt.vm.gone) + 1
        if 2 * len(attempt.tally.grants) > n_expected:
            self.win(attempt)
        return attempt.is_won


@faulty_fleets.register("no_permit_check")
class NoPermitCheck(UncheckedRemovalFleet):
    """The claimant dispatches without checking its permit."""

    checks_permit = False


@faulty_fleets.register("late_win")
class LateWin(UncheckedRemovalFleet):
    """Late votes can win an abandoned claim."""

    def win(self, attempt: Attempt) -> None:
        attempt.is_won = True


class _NoAbstentionPeriod(AbstentionPeriod):
    def remaining_ms(self, created_ms: float | None) -> float:
        return 0.0


class _NeverAbstainingVoter(UncheckedRemovalVoter):
    abstention_period_class = _NoAbstentionPeriod


@faulty_fleets.register("no_abstention")
class NoAbstention(ModelFleet):
    """A voter that lost its claims votes on every key."""

    vm_class = fleet_of(_NeverAbstainingVoter).vm_class


class _NoMajorityChain(VoterSetChain):
    def find_commit(
        self, replies: Sequence[SyncReply], retired: Iterable[object]
    ) -> Commit | None:
        if not self._pending:
            return None
        target = self._pending[-1]
        adopters = tuple(reply for reply in replies if target in reply.pending)
        return Commit(target, adopters, loses_grants=False)


class _NoMajorityVoter(UncheckedRemovalVoter):
    def __init__(self, **kwargs: object) -> None:
        super().__init__(**kwargs)  # type: ignore[arg-type]
        self._chain = _NoMajorityChain()


@faulty_fleets.register("shrinks_without_majority")
class ShrinksWithoutMajority(ModelFleet):
    """A voter set is committed as soon as one voter has adopted it."""

    vm_class = fleet_of(_NoMajorityVoter).vm_class


class _SkippingChain(VoterSetChain):
    def _list_superseded(
        self, target: VoterSet, adopters: Iterable[SyncReply]
    ) -> set[VoterSet]:
        assert self._committed is not None
        return {self._committed}


class _SkippingVoter(UncheckedRemovalVoter):
    def __init__(self, **kwargs: object) -> None:
        super().__init__(**kwargs)  # type: ignore[arg-type]
        self._chain = _SkippingChain()


@faulty_fleets.register("skip_superseded_sets")
class SkipSupersededSets(ModelFleet):
    """A voter set is committed without majorities of the sets in between."""

    vm_class = fleet_of(_SkippingVoter).vm_class


class _NoSnapshotVoter(UncheckedRemovalVoter):
    def _merge_claims(self, replies: Sequence[SyncReply]) -> None:
        pass


@faulty_fleets.register("no_snapshot")
class NoSnapshot(ModelFleet):
    """A voter commits another set without merging its peers' claims."""

    vm_class = fleet_of(_NoSnapshotVoter).vm_class


class _SameVoterIdVoter(UncheckedRemovalVoter):
    """Continues to vote after a restart as if it had not lost its claims."""

    def _take_new_voter_id(self) -> None:
        pass

    def _initialize(self, replies: Sequence[SyncReply]) -> None:
        for reply in replies:
            if (
                reply.committed is not None
                and self._voter_id in reply.committed.members
            ):
                self._chain.set_committed(reply.committed)
                return
        super()._initialize(replies)


@faulty_fleets.register("same_voter_id")
class SameVoterId(ModelFleet):
    """A restarted voter votes again under its old id."""

    vm_class = fleet_of(_SameVoterIdVoter).vm_class


class _LateRepliesVoter(UncheckedRemovalVoter):
    def _note_retired(self, request: SyncRequest, replies: Sequence[SyncReply]) -> None:
        super()._note_retired(self.build_sync(), replies)


@faulty_fleets.register("late_replies_count")
class LateRepliesCount(ModelFleet):
    """A late reply retires voter ids that were taken after it was sent."""

    vm_class = fleet_of(_LateRepliesVoter).vm_class


class _WantedOnlyVoter(UncheckedRemovalVoter):
    @property
    def peers(self) -> frozenset[str]:
        return self.voters_to_ask

    def _form_first_set(self, replies: Sequence[SyncReply]) -> None:
        self._view = self._view._replace(listed=self._view.voters)
        super()._form_first_set([r._replace(listed=r.voters) for r in replies])


@faulty_fleets.register("asks_wanted_only")
class AsksWantedOnly(ModelFleet):
    """A new voter asks only wanted VMs for an existing voter set."""

    vm_class = fleet_of(_WantedOnlyVoter).vm_class


class _SecondGrantVoter(UncheckedRemovalVoter):
    def vote(self, request):  # type: ignore[no-untyped-def]
        for other in self.table.find(request.claim.key):
            self.table.release(other.key, other.claim_id)
        return super().vote(request)


@faulty_fleets.register("second_grant")
class SecondGrant(ModelFleet):
    """A voter grants a key to the claimant that asks last."""

    vm_class = fleet_of(_SecondGrantVoter).vm_class


__all__ = ("faulty_fleets",)
