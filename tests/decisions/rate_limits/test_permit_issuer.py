"""Fleets of VMs that ask each other for permits, without a network.

Load pattern: 7 to 195 VMs with more traffic than a limited upstream takes; VMs stop,
start and are cut off meanwhile.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import pytest

from quetzaldeck.decisions.rate_limits import Permit, PermitIssuer
from quetzaldeck.entry.peers.permits import ISSUER_BOUNDS

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

UPSTREAM = "e0"
STEP_MS = 20.0
WINDOW_MS = 4_000.0


def rank(vms: Sequence[str]) -> tuple[str, ...]:
    """:returns: the issuer and the deputy among some VMs"""
    return PermitIssuer(vms[0], ISSUER_BOUNDS).rank(UPSTREAM, vms[1:])


class Fleet:
    """VMs that know each other; stopped ones are removed after a while."""

    def __init__(self, n_vms: int) -> None:
        self.random_state = random.Random(3)
        self.now_ms = 0.0
        self.issuers: dict[str, PermitIssuer] = {}
        self.stopped_ms: dict[str, float] = {}
        self.sent_ms: list[float] = []
        for index in range(n_vms):
            self.start(f"10.0.0.{index}")

    def start(self, vm: str) -> None:
        """Start a VM; it has no schedule and knows no other VM for a moment."""
        self.stopped_ms.pop(vm, None)
        self.issuers[vm] = PermitIssuer(vm, ISSUER_BOUNDS)
        self.issuers[vm].note_fleet(0, self.now_ms)

    def stop(self, vm: str) -> None:
        """Stop a VM without notice."""
        del self.issuers[vm]
        self.stopped_ms[vm] = self.now_ms

    def list_known(self) -> tuple[str, ...]:
        """:returns: VMs that all VMs know of, among them some that are gone"""
        gone = [
            vm
            for vm, at_ms in self.stopped_ms.items()
            if self.now_ms - at_ms < ISSUER_BOUNDS.removal_ms
        ]
        return (*self.issuers, *gone)

    def run(self, rate: float, duration_ms: float, *, calls_per_s: float) -> None:
        """Let VMs ask for permits at random times and note what is sent."""
        for _ in range(round(duration_ms / STEP_MS)):
            self.now_ms += STEP_MS
            known = self.list_known()
            for vm, issuer in self.issuers.items():
                issuer.note_fleet(len(known) - 1, self.now_ms)
                if self.random_state.random() < calls_per_s * STEP_MS / 1_000:
                    self._call(vm, rate, known)

    def _call(self, vm: str, rate: float, known: tuple[str, ...]) -> None:
        for asked in rank(known):
            issuer = self.issuers.get(asked)
            if issuer is None:
                continue
            peers = [other for other in known if other != asked]
            permit = issuer.issue(UPSTREAM, "", rate, 0.0, peers, self.now_ms)
            if permit is not None:
                if permit.is_granted:
                    self.sent_ms.append(self.now_ms)
                return

    def max_sent(self) -> int:
        """:returns: most requests that the upstream got within a window"""
        return max(
            sum(first <= sent < first + WINDOW_MS for sent in self.sent_ms)
            for first in self.sent_ms
        )


def max_allowed(rate: float) -> float:
    return 1.5 * rate * WINDOW_MS / 1_000 + 5


@pytest.mark.parametrize("n_vms", [1, 2, 7, 60, 195])
@pytest.mark.parametrize("rate", [0.4, 1.0, 12.0])
def test_fleet_of_any_size_keeps_and_uses_the_limit(n_vms: int, rate: float) -> None:
    """Guards against shares of a limit that hundreds of VMs use at the same time."""
    fleet = Fleet(n_vms)
    fleet.run(rate, 12_000.0, calls_per_s=60.0 / n_vms)
    begin_ms = len(fleet.sent_ms)
    fleet.run(rate, 20_000.0, calls_per_s=60.0 / n_vms)
    assert fleet.max_sent() <= max_allowed(rate)
    assert len(fleet.sent_ms) - begin_ms >= 0.6 * rate * 20.0


@pytest.mark.parametrize("n_vms", [2, 7, 60])
def test_limit_holds_and_is_used_while_the_issuer_stops_and_returns(n_vms: int) -> None:
    """The issuer is killed, then its deputy, and both return with empty schedules."""
    rate = 5.0
    fleet = Fleet(n_vms)
    fleet.run(rate, 12_000.0, calls_per_s=60.0 / n_vms)
    issuer, deputy = rank(fleet.list_known())
    for vm in (issuer, deputy, issuer):
        n_before = len(fleet.sent_ms)
        fleet.stop(vm)
        fleet.run(rate, 3_000.0, calls_per_s=60.0 / n_vms)
        fleet.start(vm)
        fleet.run(rate, 13_000.0, calls_per_s=60.0 / n_vms)
        assert len(fleet.sent_ms) - n_before >= 0.5 * rate * 14.0
    assert fleet.max_sent() <= max_allowed(rate)


def test_issuer_and_deputy_together_stay_within_the_tolerance() -> None:
    """Some VMs do not reach the issuer and ask its deputy, others go on asking it."""
    rate = 20.0
    fleet = Fleet(7)
    fleet.run(rate, 3_000.0, calls_per_s=0.0)
    known = fleet.list_known()
    sent_ms = []
    for _ in range(1_000):
        fleet.now_ms += STEP_MS
        for vm in rank(known):
            peers = [other for other in known if other != vm]
            issuer = fleet.issuers[vm]
            permit = issuer.issue(UPSTREAM, "", rate, 0.0, peers, fleet.now_ms)
            assert permit is not None
            if permit.is_granted:
                sent_ms.append(fleet.now_ms)
    fleet.sent_ms = sent_ms
    assert fleet.max_sent() <= max_allowed(rate)


def ask(issuer: PermitIssuer, peers: Iterable[str], now_ms: float) -> Permit | None:
    return issuer.issue(UPSTREAM, "", 10.0, 0.0, tuple(peers), now_ms)


def test_vm_that_knows_no_other_yet_issues_nothing() -> None:
    """A VM that has just started ranks itself first for each upstream."""
    issuer = PermitIssuer("10.0.0.1", ISSUER_BOUNDS)
    issuer.note_fleet(0, 100.0)
    assert ask(issuer, (), 150.0) is None
    issuer.note_fleet(0, 20_200.0)
    assert ask(issuer, (), 20_200.0) is not None, "it has been cut off for long"


def test_vm_that_is_neither_issuer_nor_deputy_issues_nothing() -> None:
    """VMs whose views of the fleet differ must not each find another issuer."""
    vms = [f"10.0.0.{index}" for index in range(9)]
    ranked = rank(vms)
    for vm in vms:
        peers = [other for other in vms if other != vm]
        assert (ask(PermitIssuer(vm, ISSUER_BOUNDS), peers, 0.0) is None) == (
            vm not in ranked
        )
