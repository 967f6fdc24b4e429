"""Hypothesis state machine that generates random histories of the model fleet."""

from __future__ import annotations

from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)
from tests.claims.model import SETTINGS, Attempt, ModelFleet, ModelKey, answer_of

NAMES = ("1", "2", "3", "4", "5", "6", "7")
MAX_KEYS = 3
PICK = st.integers(0, 1_000)
SUBSET = st.integers(0, 2 ** len(NAMES) - 1)
WANTED = st.one_of(st.none(), SUBSET)
DELAYS_MS = st.sampled_from((1, 40, 150, 900, 2_100, 6_000, 10_100))


def choose(bits: int, names: list[str]) -> list[str]:
    return [name for i, name in enumerate(names) if bits >> i & 1]


class ClaimMachine(RuleBasedStateMachine):
    """VMs start, stop, leave and differ in their views while callers resend keys."""

    fleet_class: type[ModelFleet] = ModelFleet

    def __init__(self) -> None:
        super().__init__()
        self.fleet = self.fleet_class(())
        self.keys: list[ModelKey] = []
        self.open: list[Attempt] = []

    def pick_vm(self, pick: int) -> str:
        names = sorted(self.fleet.vms)
        return names[pick % len(names)]

    def pick_attempt(self, pick: int) -> Attempt:
        return self.open[pick % len(self.open)]

    def may_send(self, key: ModelKey) -> bool:
        """:returns: whether a caller may send it; opaque keys have a resend window"""
        age_ms = self.fleet.clock.now_ms() - key.first_ms
        resend_ms = SETTINGS.window_ms - SETTINGS.max_deadline_ms
        return key.created_ms is not None or age_ms <= resend_ms

    @initialize(n_vms=st.integers(1, 5), wanted=WANTED, is_settled=st.booleans())
    def start_fleet(self, n_vms: int, wanted: int | None, *, is_settled: bool) -> None:
        for name in NAMES[:n_vms]:
            self.fleet.start(name)
        self.fleet.sync_all(wanted=self.list_wanted(wanted))
        if is_settled:
            self.fleet.clock.advance(SETTINGS.window_ms + 1)

    @rule(pick=PICK)
    def start(self, pick: int) -> None:
        """Start a new VM, or restart one under its name."""
        self.fleet.start(NAMES[pick % len(NAMES)])

    @precondition(lambda self: len(self.fleet.vms) > 1)
    @rule(pick=PICK)
    def stop(self, pick: int) -> None:
        self.fleet.stop(self.pick_vm(pick))

    @precondition(lambda self: self.fleet.vms)
    @rule(pick=PICK)
    def leave(self, pick: int) -> None:
        """Make a VM leave, and stop it once its voter has left."""
        name = self.pick_vm(pick)
        voter = self.fleet.vms[name].voter
        voter.leave()
        if voter.has_left and len(self.fleet.vms) > 1:
            self.fleet.stop(name)

    @rule(bits=SUBSET)
    def partition(self, bits: int) -> None:
        one = choose(bits, list(NAMES))
        self.fleet.partition(one, [name for name in NAMES if name not in one])

    @rule()
    def end_partition(self) -> None:
        self.fleet.partition(NAMES)

    def list_wanted(self, bits: int | None) -> list[str] | None:
        """:returns: any VMs as wanted voters, so that the views of VMs may differ"""
        wanted = None if bits is None else choose(bits, sorted(self.fleet.vms))
        return wanted or None

    @rule(pick=PICK, gone=SUBSET, wanted=WANTED)
    def begin_sync(self, pick: int, gone: int, wanted: int | None) -> None:
        """Begin a round; the VM considers any VMs gone, rightly or wrongly."""
        if self.fleet.vms:
            self.fleet.begin_sync(
                self.pick_vm(pick),
                gone=choose(gone, list(NAMES)),
                wanted=self.list_wanted(wanted),
            )

    @rule(pick=PICK)
    def end_sync(self, pick: int) -> None:
        if self.fleet.vms:
            self.fleet.end_sync(self.pick_vm(pick))

    @rule(gone=SUBSET, wanted=WANTED, n_rounds=st.integers(1, 4), is_true=st.booleans())
    def sync(
        self, gone: int, wanted: int | None, n_rounds: int, *, is_true: bool
    ) -> None:
        """Run whole rounds; VMs consider any VMs gone, or just the stopped ones."""
        lost = [name for name in NAMES if name not in self.fleet.vms]
        considered_gone = lost if is_true else choose(gone, list(NAMES))
        self.fleet.sync_all(
            gone=considered_gone, wanted=self.list_wanted(wanted), n_rounds=n_rounds
        )

    @precondition(lambda self: len(self.keys) < MAX_KEYS)
    @rule(is_timed=st.booleans(), skew_ms=st.integers(-100, 100))
    def make_key(self, skew_ms: int, *, is_timed: bool) -> None:
        name = f"k{len(self.keys)}"
        self.keys.append(self.fleet.make_key(name, is_timed=is_timed, skew_ms=skew_ms))

    @precondition(lambda self: self.keys and self.fleet.vms)
    @rule(vm=PICK, key=PICK, asked=SUBSET)
    def begin(self, vm: int, key: int, asked: int) -> None:
        """Send or resend a key; some voters are asked at once."""
        chosen = self.keys[key % len(self.keys)]
        if self.may_send(chosen):
            attempt = self.fleet.begin(self.pick_vm(vm), chosen)
            self.open.append(attempt)
            for name in choose(asked, list(NAMES)):
                self.fleet.ask(attempt, name)

    @precondition(lambda self: self.keys and self.fleet.vms)
    @rule(vm=PICK, key=PICK)
    def call(self, vm: int, key: int) -> None:
        """Make a whole call without interruption."""
        chosen = self.keys[key % len(self.keys)]
        if self.may_send(chosen):
            self.fleet.call(self.pick_vm(vm), chosen)

    @precondition(lambda self: self.keys and self.fleet.vms)
    @rule(vm=PICK, key=PICK)
    def abandon_early(self, vm: int, key: int) -> None:
        """Abandon an attempt before its votes arrive; they may be counted later."""
        chosen = self.keys[key % len(self.keys)]
        if self.may_send(chosen):
            attempt = self.fleet.begin(self.pick_vm(vm), chosen)
            self.open.append(attempt)
            for name in NAMES:
                self.fleet.ask(attempt, name)
            self.fleet.abandon(attempt, notified=NAMES)

    @precondition(lambda self: self.open)
    @rule(pick=PICK, asked=SUBSET)
    def ask(self, pick: int, asked: int) -> None:
        for name in choose(asked, list(NAMES)):
            self.fleet.ask(self.pick_attempt(pick), name)

    @precondition(lambda self: self.open)
    @rule(pick=PICK)
    def count(self, pick: int) -> None:
        self.fleet.count(self.pick_attempt(pick))

    @precondition(lambda self: self.open)
    @rule(pick=PICK)
    def dispatch(self, pick: int) -> None:
        attempt = self.pick_attempt(pick)
        self.fleet.count(attempt)
        self.fleet.dispatch(attempt)

    @precondition(lambda self: self.open)
    @rule(pick=PICK, notified=SUBSET)
    def abandon(self, pick: int, notified: int) -> None:
        self.fleet.abandon(
            self.pick_attempt(pick), notified=choose(notified, list(NAMES))
        )

    @precondition(lambda self: self.open)
    @rule(pick=PICK)
    def resolve(self, pick: int) -> None:
        """Check that every answer relayed to a resend is the answer to its key."""
        attempt = self.pick_attempt(pick)
        for answer in self.fleet.resolve(attempt):
            assert answer == answer_of(attempt.tally.claim)

    @rule(delta_ms=DELAYS_MS)
    def advance(self, delta_ms: int) -> None:
        self.fleet.clock.advance(delta_ms)

    @invariant()
    def check(self) -> None:
        self.fleet.check()


__all__ = ("ClaimMachine",)
