"""Simulation of a fleet whose VMs crash while they have engine memory allocated.

``python -m tests.reclaim.crashes`` prints how much memory leaks with and without
reclaim.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import NamedTuple

from quetzaldeck.clock import ManualClock
from quetzaldeck.membership import choose_owner
from quetzaldeck.reclaim import (
    OwnerRegistry,
    OwnerState,
    Reclaimer,
    ReclaimSettings,
    confirm_releases,
    mark_expiry,
)
from quetzaldeck.upstreams import Owner, RunningSequence

N_VMS = 7
N_ENGINES = 6
N_CRASHES = 200
STEP_MS = 1_000.0
START_RATE = 0.15
SHORT_DEADLINES_MS = (30_000, 120_000)
LONG_DEADLINE_MS = 600_000
PAUSE_MS = 60_000.0
PARTITION_MS = 120_000.0
SETTINGS = ReclaimSettings()
# The design guarantees release within the longest deadline plus the clock skew, the
# minimum age, and two scan intervals.
RELEASE_BOUND_MS = (
    LONG_DEADLINE_MS
    + SETTINGS.clock_skew_ms
    + SETTINGS.min_age_ms
    + 2 * SETTINGS.interval_ms
)


class LiveReleaseError(AssertionError):
    """An allocation was released that its owner still used."""


@dataclass
class Allocation:
    """Memory allocated on an engine."""

    owner: Owner
    n_tokens: int
    started_ms: float
    deadline_ms: float
    freed_at_ms: float


@dataclass
class Machine:
    """A VM with its gateway and agent; its name may be reused by another VM."""

    vm: str
    clock: ManualClock
    gateway: str
    gateway_is_live: bool = True
    agent_is_live: bool = True
    paused_until_ms: float = 0.0
    partitioned_until_ms: float = 0.0
    gateway_restart_ms: float = 0.0
    agent_restart_ms: float = 0.0
    owners: OwnerRegistry = field(init=False)
    reclaimer: Reclaimer = field(init=False)

    def __post_init__(self) -> None:
        self.start_agent()

    def start_agent(self) -> None:
        self.agent_is_live = True
        self.owners = OwnerRegistry(self.clock, quiet_ms=SETTINGS.quiet_ms)
        self.reclaimer = Reclaimer(self.clock, SETTINGS)

    @property
    def is_running(self) -> bool:
        return self.clock.now_ms() >= self.paused_until_ms

    @property
    def is_reachable(self) -> bool:
        is_connected = self.clock.now_ms() >= self.partitioned_until_ms
        return self.agent_is_live and self.is_running and is_connected


class Outcome(NamedTuple):
    """Result of a trial.

    :param leaked_token_hours: leaked tokens multiplied by the hours they were leaked
    :param release_delays_ms: time from an allocation's loss of its owner to its release
    """

    n_leaked_tokens: int
    peak_leaked_tokens: int
    leaked_token_hours: float
    n_released: int
    release_delays_ms: tuple[float, ...]


class Trial:
    """One random simulation run."""

    def __init__(
        self, seed: int, *, with_reclaim: bool, n_crashes: int = N_CRASHES
    ) -> None:
        self.n_crashes = n_crashes
        self.random = random.Random(seed)
        self.clock = ManualClock(wall_offset_ms=1.7e12)
        self.with_reclaim = with_reclaim
        self.n_vm_names = 0
        self.n_starts = 0
        self.engines: dict[str, dict[str, Allocation]] = {
            f"engine-{index}": {} for index in range(N_ENGINES)
        }
        self.machines = [self._build_machine(self._new_name()) for _ in range(N_VMS)]
        self.leaked_since_ms: dict[str, float] = {}
        self.live: frozenset[Owner] = frozenset()
        self.peak_leaked_tokens = 0
        self.leaked_token_ms = 0.0
        self.release_delays_ms: list[float] = []

    def run(self) -> Outcome:
        for _ in range(self.n_crashes):
            for _ in range(self.random.randint(5, 40)):
                self._step()
            self._inject_fault()
        for _ in range(round(RELEASE_BOUND_MS / STEP_MS)):
            self._step(starts=False)
        return Outcome(
            self._count_leaked(),
            self.peak_leaked_tokens,
            self.leaked_token_ms / 3_600_000,
            len(self.release_delays_ms),
            tuple(sorted(self.release_delays_ms)),
        )

    def _new_name(self) -> str:
        self.n_vm_names += 1
        return f"entry-{self.n_vm_names}"

    def _new_incarnation(self) -> str:
        self.n_starts += 1
        return f"gateway.{self.n_starts}"

    def _build_machine(self, vm: str) -> Machine:
        return Machine(vm, self.clock, self._new_incarnation())

    def _inject_fault(self) -> None:
        machine = self.random.choice(self.machines)
        now_ms = self.clock.now_ms()
        kind = self.random.choice(
            ["gateway", "agent", "reboot", "replace", "pause", "partition", "reuse"]
        )
        if kind == "gateway":
            machine.gateway_is_live = False
            machine.gateway_restart_ms = now_ms + 5_000
        elif kind == "agent":
            machine.agent_is_live = False
            machine.agent_restart_ms = now_ms + 5_000
        elif kind in ("reboot", "replace"):
            self.machines.remove(machine)
            name = machine.vm if kind == "reboot" else self._new_name()
            self.machines.append(self._build_machine(name))
        elif kind == "pause":
            machine.paused_until_ms = now_ms + PAUSE_MS
        else:
            machine.partitioned_until_ms = now_ms + PARTITION_MS
            if kind == "reuse":
                self.machines.append(self._build_machine(machine.vm))
        if len(self.machines) > N_VMS + 2:
            self.machines.pop(0)

    def _step(self, *, starts: bool = True) -> None:
        self.clock.advance(STEP_MS)
        for machine in self.machines:
            self._restart_programs(machine)
        self.live = self._find_live()
        self._free_finished()
        for machine in self.machines:
            if machine.is_running and machine.gateway_is_live:
                self._serve(machine, starts=starts)
        if self.with_reclaim and self.clock.now_ms() % SETTINGS.interval_ms < STEP_MS:
            for machine in self.machines:
                if machine.agent_is_live and machine.is_running:
                    self._reclaim(machine)
        self._record_leaks()

    def _find_live(self) -> frozenset[Owner]:
        return frozenset(
            Owner(m.vm, m.gateway) for m in self.machines if m.gateway_is_live
        )

    def _restart_programs(self, machine: Machine) -> None:
        now_ms = self.clock.now_ms()
        if not machine.gateway_is_live and now_ms >= machine.gateway_restart_ms:
            machine.gateway_is_live = True
            machine.gateway = self._new_incarnation()
        if not machine.agent_is_live and now_ms >= machine.agent_restart_ms:
            machine.start_agent()

    def _serve(self, machine: Machine, *, starts: bool) -> None:
        if machine.agent_is_live:
            machine.owners.note_report(machine.gateway, is_stopped=False)
        owner = Owner(machine.vm, machine.gateway)
        for allocations in self.engines.values():
            if starts and self.random.random() < START_RATE:
                self._start(allocations, owner)

    def _free_finished(self) -> None:
        """Free the allocations that running owners no longer need."""
        now_ms = self.clock.now_ms()
        running = {
            Owner(m.vm, m.gateway)
            for m in self.machines
            if m.gateway_is_live and m.is_running
        }
        for allocations in self.engines.values():
            for allocation_id, allocation in list(allocations.items()):
                if now_ms >= allocation.freed_at_ms and allocation.owner in running:
                    del allocations[allocation_id]

    def _start(self, allocations: dict[str, Allocation], owner: Owner) -> None:
        now_ms = self.clock.now_ms()
        is_long = self.random.random() < 0.1
        length_ms = (
            LONG_DEADLINE_MS if is_long else self.random.randint(*SHORT_DEADLINES_MS)
        )
        self.n_starts += 1
        wall_ms = self.clock.wall_ms() + length_ms
        allocations[mark_expiry(f"request.{self.n_starts}", wall_ms)] = Allocation(
            owner,
            self.random.randint(1_000, 50_000),
            now_ms,
            now_ms + length_ms,
            now_ms + length_ms * self.random.random(),
        )

    def _list(self, engine: str) -> list[RunningSequence]:
        now_ms = self.clock.now_ms()
        return [
            RunningSequence(
                key,
                allocation.owner,
                allocation.n_tokens,
                now_ms - allocation.started_ms,
            )
            for key, allocation in self.engines[engine].items()
        ]

    def _reclaim(self, machine: Machine) -> None:
        reachable = [m.vm for m in self.machines if m.is_reachable]
        vms = reachable if machine.is_reachable else [machine.vm]
        for engine in self.engines:
            if choose_owner(engine, vms) != machine.vm:
                continue
            allocations = self._list(engine)
            for owner in machine.reclaimer.list_owners_to_query(allocations):
                machine.reclaimer.note_owner_state(
                    owner, self._query_state(machine, owner)
                )
            releases = machine.reclaimer.list_releases(allocations)
            for release in confirm_releases(releases, self._list(engine)):
                self._release(engine, release.allocation.attempt_id)

    def _query_state(self, querier: Machine, owner: Owner) -> OwnerState:
        if owner.vm == querier.vm:
            return querier.owners.find_state(owner.incarnation)
        if not querier.is_reachable:
            return OwnerState.UNKNOWN
        # Of two machines with the same name, the later one is found at the address.
        named = [m for m in self.machines if m.vm == owner.vm]
        if not named or not named[-1].is_reachable:
            return OwnerState.UNKNOWN
        return named[-1].owners.find_state(owner.incarnation)

    def _release(self, engine: str, allocation_id: str) -> None:
        allocation = self.engines[engine].pop(allocation_id)
        if self._is_used(allocation):
            raise LiveReleaseError(f"{allocation_id} of {allocation.owner}")
        since_ms = self.leaked_since_ms.get(allocation_id, self.clock.now_ms())
        self.release_delays_ms.append(self.clock.now_ms() - since_ms)

    def _is_used(self, allocation: Allocation) -> bool:
        return (
            allocation.owner in self.live
            and self.clock.now_ms() < allocation.deadline_ms
        )

    def _record_leaks(self) -> None:
        n_leaked = 0
        for allocations in self.engines.values():
            for allocation_id, allocation in allocations.items():
                if not self._is_used(allocation):
                    self.leaked_since_ms.setdefault(allocation_id, self.clock.now_ms())
                    n_leaked += allocation.n_tokens
        self.peak_leaked_tokens = max(self.peak_leaked_tokens, n_leaked)
        self.leaked_token_ms += n_leaked * STEP_MS

    def _count_leaked(self) -> int:
        return sum(
            allocation.n_tokens
            for allocations in self.engines.values()
            for allocation in allocations.values()
            if not self._is_used(allocation)
        )


def main() -> None:
    """Print the results of one trial without reclaim and one with it."""
    for with_reclaim in (False, True):
        outcome = Trial(1, with_reclaim=with_reclaim).run()
        delays = outcome.release_delays_ms
        middle = delays[len(delays) // 2] / 1_000 if delays else 0.0
        longest = delays[-1] / 1_000 if delays else 0.0
        print(
            f"with_reclaim={with_reclaim} left={outcome.n_leaked_tokens} "
            f"peak={outcome.peak_leaked_tokens} "
            f"token_hours={outcome.leaked_token_hours:.0f} "
            f"released={outcome.n_released} "
            f"wait_median_s={middle:.0f} wait_max_s={longest:.0f}"
        )


if __name__ == "__main__":
    main()
