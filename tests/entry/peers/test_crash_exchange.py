"""VMs together stop requests that crash replicas, over a faulty network."""

from __future__ import annotations

import random
from enum import StrEnum
from typing import NamedTuple

import pytest
from tests.entry.peers.peer_fleet import PeerFleet, PeerVm
from tests.support.platform.crash_check import (
    GRACE_MS,
    N_PART_CRASHES,
    CrashRecord,
    Sending,
)

from quetzaldeck.decisions.poison import Verdict, compute_part_fingerprint

SETTLE_MS = 12_000.0
"""Time after which all VMs of a fleet know each other."""

RUN_MS = 60.0
RESTART_MS = 2_000.0
INTERVAL_MS = 250.0
DEADLINE_MS = 1_000.0
CHECK_MS = 550.0
"""Time from the end of a run to the end of the check of its replica."""

N_REPLICAS = 4
CULPRIT = 7
PART = compute_part_fingerprint("bad")
PACKET_BYTES = 1_472
"""Largest datagram that is not split on the way."""


class Manner(StrEnum):
    """What a VM learns of the end of a replica that ran its request.

    ``BREAKS``: its connection breaks. ``LEFT``: the caller has left; a later check
    finds the port closed. ``SILENT``: the caller has left; the check gets no answer.
    """

    BREAKS = "breaks"
    LEFT = "left"
    SILENT = "silent"


class Run(NamedTuple):
    """A request that runs on a replica, or has ended it."""

    due_ms: float
    vm: PeerVm
    upstream: str


class CrashingPool:
    """Replicas of one service that a request crashes, and a caller that repeats it.

    :param manner: what the VMs learn
    :param culprit: the request, or a part of prompts
    :param record: keeps what replicas get
    """

    def __init__(
        self,
        fleet: PeerFleet,
        seed: int,
        manner: Manner = Manner.BREAKS,
        *,
        culprit: int = CULPRIT,
        record: CrashRecord | None = None,
    ) -> None:
        self._culprit = culprit
        self._manner = manner
        self._checks: list[Run] = []
        self._fleet = fleet
        self._random_state = random.Random(seed)
        self._runs: list[Run] = []
        self._down_until_ms = dict.fromkeys(range(N_REPLICAS), 0.0)
        self._n_starts = dict.fromkeys(range(N_REPLICAS), 0)
        self._next_ms = fleet.now_ms
        self.record = record or CrashRecord()
        self.disturbed_ms: dict[str, float] = {}
        self.n_refused = 0

    def run(self, duration_ms: float) -> None:
        """Send copies for some time, a few at once."""
        end_ms = self._fleet.now_ms + duration_ms
        while self._fleet.now_ms < end_ms:
            if self._fleet.now_ms >= self._next_ms:
                self._next_ms += INTERVAL_MS
                self._send_copies()
            self._fleet.run(10.0)
            self._end_runs()
            self._check_left()

    def note_disturbed(self, address: str) -> None:
        """Excuse a VM that has just started, or may do what it likes now."""
        self.disturbed_ms[address] = self._fleet.now_ms

    def _send_copies(self) -> None:
        now_ms = self._fleet.now_ms
        running = [v for v in self._fleet.vms.values() if v.paused_until_ms <= now_ms]
        n_copies = min(len(running), self._random_state.randint(1, 3))
        for vm in self._random_state.sample(running, n_copies):
            up = [r for r, until_ms in self._down_until_ms.items() if until_ms < now_ms]
            verdict = vm.registry.verdict(self._culprit, now_ms)
            is_held = vm.registry.is_held(self._culprit, now_ms)
            if verdict is Verdict.REFUSED:
                self.n_refused += 1
            elif up and not (verdict is Verdict.SUSPECT and is_held):
                number = self._random_state.choice(up)
                sending = Sending(now_ms, vm.address)
                self.record.sendings["culprit"].append(sending)
                name = f"r{number}-{self._n_starts[number]}"
                self._runs.append(Run(now_ms + RUN_MS, vm, name))
                if verdict is Verdict.SUSPECT:
                    deadline_ms = now_ms + DEADLINE_MS
                    vm.registry.note_started(
                        self._culprit, name, "", deadline_ms, now_ms
                    )

    def _end_runs(self) -> None:
        now_ms = self._fleet.now_ms
        ended = [run for run in self._runs if run.due_ms <= now_ms]
        self._runs = [run for run in self._runs if run.due_ms > now_ms]
        for run in ended:
            name = run.upstream
            number = int(name[1])
            if name == f"r{number}-{self._n_starts[number]}":
                self._n_starts[number] += 1
                self._down_until_ms[number] = now_ms + RESTART_MS
                self.record.crashes_ms["culprit"].append(now_ms)
            if self._fleet.vms.get(run.vm.address) is run.vm:
                self._note_end(run, now_ms)

    def _note_end(self, run: Run, now_ms: float) -> None:
        registry, name = run.vm.registry, run.upstream
        registry.note_stopped(self._culprit, name, now_ms)
        if self._manner is Manner.BREAKS:
            registry.note_crash(self._culprit, name, name, now_ms, run_ms=RUN_MS)
            return
        registry.note_left(self._culprit, name, name, now_ms - RUN_MS, now_ms - 1.0)
        self._checks.append(run._replace(due_ms=now_ms + CHECK_MS))

    def _check_left(self) -> None:
        """Report the checks of replicas whose callers have left, when they end."""
        now_ms = self._fleet.now_ms
        ended = [run for run in self._checks if run.due_ms <= now_ms]
        self._checks = [run for run in self._checks if run.due_ms > now_ms]
        for run in ended:
            if self._manner is Manner.SILENT:
                run.vm.registry.ends.note_missing(run.upstream, now_ms)
            else:
                run.vm.registry.ends.note_ended(run.upstream, now_ms, run.upstream)

    def is_excused(self, address: str, begin_ms: float, end_ms: float) -> bool:
        """:returns: whether a VM was disturbed in a time span"""
        return self.disturbed_ms.get(address, float("-inf")) >= begin_ms


def make_fleet(n_vms: int, *, loss: float = 0.05) -> PeerFleet:
    fleet = PeerFleet(n_vms, loss=loss, seed=n_vms)
    fleet.jitter_ms = 20.0
    fleet.run(SETTLE_MS if n_vms > 1 else 0.0)
    return fleet


@pytest.mark.parametrize("manner", list(Manner))
@pytest.mark.parametrize("n_vms", [1, 7, 30, 195])
def test_vms_together_send_no_request_on_that_crashes_replicas(
    n_vms: int, manner: Manner
) -> None:
    """Copies come at once through all VMs, while one in twenty datagrams is lost."""
    fleet = make_fleet(n_vms)
    pool = CrashingPool(fleet, n_vms, manner)
    pool.run(8_000.0)
    assert list(pool.record.find_excess()) == []
    assert len(pool.record.crashes_ms["culprit"]) <= 3 + 2
    assert pool.n_refused > 20


@pytest.mark.parametrize("manner", list(Manner))
@pytest.mark.parametrize("n_vms", [1, 7, 78, 195, 410])
def test_vms_together_stop_a_part_that_crashes_replicas(
    n_vms: int, manner: Manner
) -> None:
    """Prompts with the part come at once through all VMs; each sees a crash or none."""
    fleet = make_fleet(n_vms)
    record = CrashRecord(N_PART_CRASHES)
    pool = CrashingPool(fleet, n_vms, manner, culprit=PART, record=record)
    pool.run(12_000.0)
    assert list(record.find_excess()) == []
    assert pool.n_refused > 20


@pytest.mark.parametrize("n_vms", [7, 30])
@pytest.mark.parametrize("culprit", [CULPRIT, PART], ids=["request", "part"])
def test_vms_that_restart_pause_or_are_cut_off_learn_of_it(
    n_vms: int, culprit: int
) -> None:
    """Half of the VMs are killed; others were paused or cut off at the crashes."""
    fleet = make_fleet(n_vms)
    pool = CrashingPool(fleet, n_vms, culprit=culprit)
    addresses = list(fleet.vms)
    cut_off = addresses[-1]
    fleet.is_partitioned = lambda a, b: cut_off in (a, b)
    fleet.vms[addresses[1]].paused_until_ms = fleet.now_ms + 4_000.0
    pool.note_disturbed(cut_off)
    pool.run(2_500.0)
    fleet.is_partitioned = lambda a, b: False
    pool.note_disturbed(cut_off)
    for address in addresses[: n_vms // 2]:
        fleet.stop(address)
        pool.note_disturbed(address)
    pool.run(500.0)
    for address in addresses[: n_vms // 2]:
        fleet.start(address)
        pool.note_disturbed(address)
    pool.run(9_000.0)
    assert list(pool.record.find_excess(pool.is_excused)) == []
    verdicts = {vm.registry.verdict(culprit, fleet.now_ms) for vm in fleet.vms.values()}
    assert verdicts == {Verdict.REFUSED}


def test_run_of_a_vm_that_is_killed_with_its_replica_counts() -> None:
    """VMs are killed when the request that they sent ends a replica."""
    fleet = make_fleet(7)
    vms = list(fleet.vms.values())
    now_ms = fleet.now_ms
    vms[0].registry.note_crash(CULPRIT, "r0", "r0", now_ms, run_ms=RUN_MS)
    for index in (1, 2):
        fleet.run(1_000.0)
        deadline_ms = fleet.now_ms + DEADLINE_MS
        name = f"r{index}"
        vms[index].registry.note_started(CULPRIT, name, name, deadline_ms, fleet.now_ms)
        fleet.run(RUN_MS)
        fleet.stop(vms[index].address)
        vms[0].registry.ends.note_ended(name, fleet.now_ms, name)
        fleet.run(GRACE_MS / 2)
        vms[0].registry.ends.advance(fleet.now_ms)
    fleet.run(GRACE_MS)
    verdicts = {vm.registry.verdict(CULPRIT, fleet.now_ms) for vm in fleet.vms.values()}
    assert verdicts == {Verdict.REFUSED}


def test_run_that_never_reached_its_replica_does_not_count() -> None:
    """Two VMs find the port of a replica closed, one of them with a suspect."""
    fleet = make_fleet(7, loss=0.0)
    first, second, *_ = fleet.vms.values()
    first.registry.note_crash(CULPRIT, "r0", "r0", fleet.now_ms, run_ms=RUN_MS)
    fleet.run(1_000.0)
    deadline_ms = fleet.now_ms + DEADLINE_MS
    first.registry.note_started(CULPRIT, "r1", "", deadline_ms, fleet.now_ms)
    fleet.run(20.0)
    second.registry.ends.note_ended("r1", fleet.now_ms)
    first.registry.note_stopped(CULPRIT, "r1", fleet.now_ms)
    for _ in range(10):
        fleet.run(100.0)
        for vm in fleet.vms.values():
            vm.registry.ends.advance(fleet.now_ms)
            assert vm.registry.n_crashes(CULPRIT, fleet.now_ms) <= 1


def test_messages_stay_bounded_however_many_requests_crash_replicas() -> None:
    """Guards against greetings that no longer fit into a packet."""
    fleet = make_fleet(30, loss=0.0)
    vm = next(iter(fleet.vms.values()))
    fleet.take_counts()
    fleet.run(3_000.0)
    before = fleet.take_counts()
    for fingerprint in range(100, 200):
        for index in range(3):
            name = f"r{fingerprint}-{index}"
            vm.registry.note_crash(fingerprint, name, name, fleet.now_ms, run_ms=60.0)
    fleet.run(GRACE_MS)
    fleet.take_counts()
    fleet.run(3_000.0)
    after = fleet.take_counts()
    assert after.n_datagrams <= 1.2 * before.n_datagrams
    assert fleet.max_bytes <= PACKET_BYTES
    started = fleet.start(vm.address)
    fleet.run(GRACE_MS)
    n_known = len(started.registry.list_verdicts(fleet.now_ms))
    assert n_known == 100
