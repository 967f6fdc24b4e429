"""Measurements for docs/design/at-most-once.md, run by ``make measure-claims``.

All agents and gateways run in one process, on one core and over loopback. So latencies
are upper bounds; the numbers of refusals are the main result.
"""

from __future__ import annotations

import asyncio
import random
import sys
import tracemalloc
import uuid
from collections import Counter
from typing import TYPE_CHECKING, NamedTuple

import uvloop
from tests.claims.callers import Callers
from tests.claims.test_fleet_claims import wait_until_settled
from tests.support.fleet import Fleet, FleetSettings

from quetzaldeck.claims import (
    Claim,
    ClaimSettings,
    ClaimTable,
    ClaimTracker,
    KeptAnswer,
    hash_claim_key,
)
from quetzaldeck.clock import Clock, ManualClock
from quetzaldeck.demo.session import wait_until_ready
from quetzaldeck.load.report import compute_tails
from quetzaldeck.peers import PeerError
from quetzaldeck.telemetry import configure_logging

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from quetzaldeck.agent.session import AgentSession
    from quetzaldeck.peers import PeerIdentity

    Fault = Callable[[Fleet], Awaitable[None]]

N_VMS = 7
N_LATENCY_CALLS = 400
CALLS_PER_S = 40
FAULT_AFTER_S = 1.0
RUN_S = 8.0
TABLE_SIZES = (5_000, 10_000, 20_000)
ANSWER_BYTES = 300


class Availability(NamedTuple):
    """Outcomes of the bookings made during a fault."""

    n_calls: int
    n_answered: int
    reasons: dict[str, int]


async def measure_latency() -> None:
    """Print the latency of sequential calls with and without a claim."""
    clock = Clock()
    async with (
        Fleet(FleetSettings(n_vms=N_VMS, service_duration_ms=0)) as fleet,
        Callers(fleet, random_state=random.Random(1)) as callers,
    ):
        await wait_until_settled(fleet)
        for path in ("/desk/lookups", "/desk/bookings"):
            callers.path = path
            times_ms = []
            for index in range(N_LATENCY_CALLS):
                vm = f"entry-{index % N_VMS + 1}"
                started_ms = clock.now_ms()
                outcome = await callers.call(vm, callers.make_key())
                assert outcome.status == 200
                times_ms.append(clock.now_ms() - started_ms)
            tails = compute_tails(times_ms)
            print(f"{path}: p50 {tails.p50:.2f} ms, p99 {tails.p99:.2f} ms")


async def no_fault(fleet: Fleet) -> None:
    """Inject no fault."""


async def kill_one(fleet: Fleet) -> None:
    """Stop a VM, which stays on the list."""
    await fleet.stop_vm("entry-7")


async def restart_one(fleet: Fleet) -> None:
    """Stop a VM and restart it under its name."""
    await fleet.stop_vm("entry-7")
    await fleet.start_vm("entry-7")


async def stop_zone(fleet: Fleet) -> None:
    """Stop the three VMs of one zone at once."""
    for name in ("entry-1", "entry-4", "entry-7"):
        await fleet.stop_vm(name)


async def partition_three_from_four(fleet: Fleet) -> None:
    """Partition VMs 1 to 3 from 4 to 7."""
    partition(fleet, ("entry-1", "entry-2", "entry-3"))


async def freeze_list(fleet: Fleet) -> None:
    """Replace a VM while the list is not updated."""
    entries = fleet.vm_list.set_vms
    fleet.vm_list.set_vms = lambda vms: None  # type: ignore[method-assign]
    await fleet.stop_vm("entry-7")
    await fleet.start_vm("entry-8")
    fleet.vm_list.set_vms = entries  # type: ignore[method-assign]


async def replace_all(fleet: Fleet) -> None:
    """Replace all VMs gracefully, one after the other."""
    for index in range(1, N_VMS + 1):
        vm = await fleet.start_vm(f"entry-{index + N_VMS}")
        await wait_until_ready(vm.gateway)
        await fleet.leave_vm(f"entry-{index}")
        fleet.set_state(f"entry-{index}", None)


FAULTS: dict[str, Fault] = {
    "none": no_fault,
    "kill of one VM": kill_one,
    "restart of one VM": restart_one,
    "zone loss, 3 of 7 VMs": stop_zone,
    "partition 3 | 4": partition_three_from_four,
    "stale list, one VM replaced": freeze_list,
    "rolling replacement of all": replace_all,
}


def partition(fleet: Fleet, side: Iterable[str]) -> None:
    """Block all messages between the agents of ``side`` and the others."""
    inside = frozenset(side)
    for name, vm in fleet.vms.items():
        unreachable = frozenset(fleet.vms) - inside if name in inside else inside
        block(vm.agent.session, unreachable)


def block(session: AgentSession, unreachable: frozenset[str]) -> None:
    """Make requests to the VMs in ``unreachable`` fail."""
    ask = session.channel.ask

    async def ask_reachable(
        vm: str, address: str, kind: str, body: bytes, timeout_ms: float
    ) -> tuple[PeerIdentity, bytes]:
        if vm in unreachable:
            msg = f"{vm} is unreachable"
            raise PeerError(msg)
        return await ask(vm, address, kind, body, timeout_ms)

    session.channel.ask = ask_reachable  # type: ignore[method-assign]


async def measure_fault(fault: Fault) -> Availability:
    """:returns: the outcomes of bookings, each sent once to a ready VM"""
    async with (
        Fleet(FleetSettings(n_vms=N_VMS)) as fleet,
        Callers(fleet, random_state=random.Random(2)) as callers,
    ):
        await wait_until_settled(fleet)
        injected = asyncio.create_task(inject_later(fleet, fault))
        calls = []
        random_state = random.Random(3)
        for _ in range(int(RUN_S * CALLS_PER_S)):
            vm = random_state.choice(list_ready(fleet))
            calls.append(asyncio.create_task(callers.call(vm, callers.make_key())))
            await asyncio.sleep(1 / CALLS_PER_S)
        outcomes = await asyncio.gather(*calls)
        await injected
        callers.check()
    reasons = Counter(
        f"{outcome.reason or 'no connection'} (ran: {outcome.ran or '-'})"
        for outcome in outcomes
        if outcome.status != 200
    )
    n_answered = sum(outcome.status == 200 for outcome in outcomes)
    return Availability(len(outcomes), n_answered, dict(reasons))


def list_ready(fleet: Fleet) -> list[str]:
    """:returns: VMs to which a load balancer would send calls"""
    return sorted(
        name
        for name, vm in fleet.vms.items()
        if vm.gateway.session.state.bundle_version
    )


async def inject_later(fleet: Fleet, fault: Fault) -> None:
    await asyncio.sleep(FAULT_AFTER_S)
    await fault(fleet)


def measure_memory() -> None:
    """Print the memory per claim at a voter and per finished claim at a claimant."""
    settings = ClaimSettings(max_held_bytes=1 << 30)
    for n_claims in TABLE_SIZES:
        claims = n_bytes = 0
        tracemalloc.start()
        table = ClaimTable(ManualClock(), settings.window_ms)
        for index in range(n_claims):
            table.add(build_claim(index))
        n_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        claims = len(table)
        del table
        tracemalloc.start()
        tracker = ClaimTracker(ManualClock(), settings)
        for index in range(n_claims):
            claim = build_claim(index)
            tracker.begin(claim)
            tracker.win(claim.claim_id)
            answer = KeptAnswer(200, (("Content-Type", "text"),), bytes(ANSWER_BYTES))
            tracker.finish(claim.claim_id, answer)
        n_tracker_bytes, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        print(
            f"{claims} claims: {n_bytes / claims:.0f} bytes each at a voter, "
            f"{n_tracker_bytes / len(tracker):.0f} at the claimant with "
            f"{ANSWER_BYTES} bytes of answer"
        )


def build_claim(index: int) -> Claim:
    """:returns: a claim as large as those of gateways"""
    key = hash_claim_key("barbell-club", str(index))
    return Claim(key, key[::-1], f"{uuid.uuid4().hex}.0", "entry-1")


def main() -> None:
    """Run all measurements, or those named on the command line."""
    configure_logging(level="CRITICAL")
    selected = sys.argv[1:] or ["memory", "latency", *FAULTS]
    if "memory" in selected:
        measure_memory()
    if "latency" in selected:
        uvloop.run(measure_latency())
    for name in selected:
        if name in FAULTS:
            result = uvloop.run(measure_fault(FAULTS[name]))
            print(f"{name}: {result.n_answered} of {result.n_calls} answered; ", end="")
            print(result.reasons, flush=True)


if __name__ == "__main__":
    main()
