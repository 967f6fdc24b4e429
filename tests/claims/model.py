"""A model of a fleet of voters and claimants without a network.

Each message is a method call, which a test delivers at any time or never. The fleet
counts executions and checks the guarantees of the protocol.
"""

from __future__ import annotations

from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.claims import (
    Claim,
    ClaimSettings,
    ClaimState,
    ClaimTracker,
    FleetView,
    KeptAnswer,
    Permit,
    Release,
    Voter,
    VoteRequest,
    VoteTally,
)
from quetzaldeck.clock import ManualClock

if TYPE_CHECKING:
    from collections.abc import Collection, Iterable

    from quetzaldeck.claims import SyncReply, SyncRequest, Vote, VoterId

SETTINGS = ClaimSettings(window_ms=10_000, max_deadline_ms=2_000, max_clock_skew_ms=100)
N_SETTLING_ROUNDS = 12


class ModelKey(NamedTuple):
    """A key of one caller.

    :param created_ms: wall time in the key; ``None`` for an opaque key
    :param first_ms: when the caller first sent it
    """

    name: str
    created_ms: float | None
    first_ms: float


class Attempt:
    """One claimant's attempt to win a key and run its call."""

    def __init__(self, vm: ModelVm, key: ModelKey, claim: Claim) -> None:
        self.vm = vm
        self.key = key
        self.tally = VoteTally(claim)
        self.inbox: list[Vote] = []
        self.permit: Permit | None = None
        self.is_won = False
        self.is_reported_not_run = False
        self.has_run = False


class ModelVm:
    """One incarnation of an agent."""

    voter_class: type[Voter] = Voter

    def __init__(self, name: str, incarnation: str, clock: ManualClock) -> None:
        self.name = name
        self.incarnation = incarnation
        self.clock = clock
        self.voter = self.build_voter()
        self.tracker = ClaimTracker(clock, SETTINGS)
        self.n_attempts = 0
        self.gone: frozenset[str] = frozenset()
        self.request: SyncRequest | None = None
        self.replies: list[SyncReply] = []

    def build_voter(self) -> Voter:
        return self.voter_class(
            vm=self.name,
            incarnation=self.incarnation,
            clock=self.clock,
            settings=SETTINGS,
        )


class UncheckedRemovalVoter(Voter):
    """Proposes to remove all voters it considers gone, to allow more histories."""

    def _may_propose_removal(self, gone: Collection[VoterId]) -> bool:
        return True


class UncheckedRemovalVm(ModelVm):
    """A VM with an :class:`UncheckedRemovalVoter`."""

    voter_class = UncheckedRemovalVoter


class ModelFleet:
    """The VMs by name, the partition between them, and all executions."""

    vm_class: type[ModelVm] = ModelVm
    checks_permit = True

    def __init__(self, names: Iterable[str]) -> None:
        self.clock = ManualClock(0.0, wall_offset_ms=1.7e12)
        self.vms: dict[str, ModelVm] = {}
        self.sides: dict[str, int] = {}
        self.executions: Counter[str] = Counter()
        self.attempts: list[Attempt] = []
        self.n_starts = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> ModelVm:
        """Start a VM, or restart it without its previous state."""
        self.n_starts += 1
        vm = self.vm_class(name, f"i{self.n_starts}", self.clock)
        self.vms[name] = vm
        return vm

    def stop(self, name: str) -> None:
        del self.vms[name]

    def partition(self, *sides: Iterable[str]) -> None:
        self.sides = {name: i for i, side in enumerate(sides) for name in side}

    def can_reach(self, one: str, other: str) -> bool:
        is_up = one in self.vms and other in self.vms
        return is_up and self.sides.get(one, 0) == self.sides.get(other, 0)

    def begin_sync(
        self,
        name: str,
        *,
        listed: Iterable[str] | None = None,
        gone: Iterable[str] = (),
        wanted: Iterable[str] | None = None,
    ) -> None:
        """Send a sync request to reachable peers; end_sync delivers the replies."""
        vm = self.vms[name]
        listed_vms = frozenset(self.vms) if listed is None else frozenset(listed)
        vm.gone = frozenset(gone)
        voters = None if wanted is None else frozenset(wanted)
        vm.voter.update_view(FleetView(listed_vms, vm.gone, voters))
        request = vm.request = vm.voter.build_sync()
        vm.replies = [
            self.vms[peer].voter.answer_sync(request)
            for peer in sorted(vm.voter.peers)
            if self.can_reach(name, peer)
        ]

    def end_sync(self, name: str) -> None:
        vm = self.vms[name]
        if vm.request is not None:
            vm.voter.process_replies(vm.request, vm.replies)

    def sync_all(
        self,
        *,
        listed: Iterable[str] | None = None,
        gone: Iterable[str] = (),
        wanted: Iterable[str] | None = None,
        n_rounds: int = N_SETTLING_ROUNDS,
    ) -> None:
        for _ in range(n_rounds):
            for name in list(self.vms):
                self.begin_sync(name, listed=listed, gone=gone, wanted=wanted)
                self.end_sync(name)

    def make_key(self, name: str, *, is_timed: bool, skew_ms: float = 0) -> ModelKey:
        created_ms = self.clock.wall_ms() + skew_ms if is_timed else None
        return ModelKey(name, created_ms, self.clock.now_ms())

    def begin(self, vm_name: str, key: ModelKey, body: str = "body") -> Attempt:
        vm = self.vms[vm_name]
        vm.n_attempts += 1
        claim_id = f"{vm.incarnation}:{vm.n_attempts}"
        claim = Claim(key.name, body, claim_id, vm_name)
        vm.tracker.begin(claim)
        attempt = Attempt(vm, key, claim)
        attempt.permit = Permit(
            claim_id,
            self.clock.now_ms(),
            self.clock.now_ms() + SETTINGS.max_deadline_ms,
        )
        self.attempts.append(attempt)
        return attempt

    def ask(self, attempt: Attempt, voter: str) -> None:
        """Deliver the request to a voter; its vote waits in the inbox."""
        if self.is_up(attempt) and self.can_reach(attempt.vm.name, voter):
            request = VoteRequest(attempt.tally.claim, attempt.key.created_ms)
            attempt.inbox.append(self.vms[voter].voter.vote(request))

    def count(self, attempt: Attempt) -> bool:
        """:returns: whether the votes that have arrived win the claim"""
        for vote in attempt.inbox:
            attempt.tally.add(vote)
        attempt.inbox = []
        if attempt.tally.is_won:
            self.win(attempt)
        return attempt.is_won

    def win(self, attempt: Attempt) -> None:
        """Mark the claim as won; after that the gateway checks only the permit."""
        if attempt.vm.tracker.win(attempt.tally.claim.claim_id):
            attempt.is_won = True

    def is_up(self, attempt: Attempt) -> bool:
        return self.vms.get(attempt.vm.name) is attempt.vm

    def dispatch(self, attempt: Attempt) -> bool:
        """Run the call if its claim is won and the permit is still valid."""
        if not self.is_up(attempt) or attempt.has_run or not attempt.is_won:
            return False
        assert attempt.permit is not None
        if self.checks_permit and not attempt.permit.is_valid(self.clock.now_ms()):
            return False
        attempt.has_run = True
        self.executions[attempt.key.name] += 1
        answer = KeptAnswer(200, (), answer_of(attempt.tally.claim).encode())
        attempt.vm.tracker.finish(attempt.tally.claim.claim_id, answer)
        return True

    def abandon(self, attempt: Attempt, *, notified: Iterable[str] = ()) -> None:
        """Report ``ran: no`` to the caller and release the claim at the voters.

        :param notified: voters that are sent the release, if they are reachable
        """
        if attempt.has_run or not self.is_up(attempt):
            return
        claim = attempt.tally.claim
        attempt.vm.tracker.abandon(claim.claim_id)
        attempt.is_won = False
        attempt.is_reported_not_run = True
        self.release(attempt.vm.name, claim, notified)

    def release(self, sender: str, claim: Claim, notified: Iterable[str]) -> None:
        for name in notified:
            if self.can_reach(sender, name):
                self.vms[name].voter.release(Release(claim.key, claim.claim_id))

    def resolve(self, attempt: Attempt) -> list[str]:
        """Ask the holders of the key for the status of their claims.

        Claims that a holder has abandoned are released.

        :returns: answers that the holders relayed
        """
        answers = []
        for holder in attempt.tally.holders:
            if not self.is_up(attempt) or not self.can_reach(
                attempt.vm.name, holder.vm
            ):
                continue
            status = self.vms[holder.vm].tracker.find(holder.claim_id)
            if status.state is ClaimState.ABANDONED:
                self.release(attempt.vm.name, holder, list(self.vms))
            if status.answer is not None:
                answers.append(status.answer.body.decode())
        return answers

    def call(self, vm_name: str, key: ModelKey) -> bool:
        """Make a call without faults: ask all reachable VMs, then run or abandon."""
        attempt = self.begin(vm_name, key)
        for name in list(self.vms):
            self.ask(attempt, name)
        if self.count(attempt) and self.dispatch(attempt):
            return True
        self.abandon(attempt, notified=list(self.vms))
        return False

    def check(self) -> None:
        """Check every guarantee against the history so far."""
        doubled = {key: n for key, n in self.executions.items() if n > 1}
        assert not doubled, f"ran more than once: {doubled}"
        for attempt in self.attempts:
            assert not (attempt.is_reported_not_run and attempt.has_run)


class UncheckedRemovalFleet(ModelFleet):
    """A correct fleet in which wrong views of the fleet do more harm."""

    vm_class = UncheckedRemovalVm


def answer_of(claim: Claim) -> str:
    """:returns: the only correct answer to a claimed call"""
    return f"{claim.key}/{claim.body_digest}"


def make_settled_fleet(names: Iterable[str]) -> ModelFleet:
    """:returns: a fleet whose voters agree and no longer abstain"""
    fleet = ModelFleet(names)
    fleet.sync_all()
    fleet.clock.advance(SETTINGS.window_ms + 1)
    return fleet


__all__ = (
    "SETTINGS",
    "Attempt",
    "ModelFleet",
    "ModelKey",
    "ModelVm",
    "UncheckedRemovalFleet",
    "UncheckedRemovalVoter",
    "answer_of",
    "make_settled_fleet",
)
