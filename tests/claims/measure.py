"""Figures for docs/design/at-most-once.md: ``make measure-claims``.

A fleet in one process on loopback: all agents and gateways share one core, so that
latencies are upper bounds and refusals are what counts.
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
    """What bookings received while a fault was on."""

    n_calls: int
    n_answered: int
    reasons: dict[str, int]


async def measure_latency() -> None:
    """Print the time of calls with and without a claim, one at a time."""
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
    """Leave the fleet alone."""


async def kill_one(fleet: Fleet) -> None:
    """Stop a VM; the list goes on naming it."""
    await fleet.stop_vm("entry-7")


async def restart_one(fleet: Fleet) -> None:
    """Stop a VM and start it anew under its name."""
    await fleet.stop_vm("entry-7")
    await fleet.start_vm("entry-7")


async def lose_zone(fleet: Fleet) -> None:
    """Stop the three VMs of one zone at once."""
    for name in ("entry-1", "entry-4", "entry-7"):
        await fleet.stop_vm(name)


async def cut_three_from_four(fleet: Fleet) -> None:
    """Cut VMs 1 to 3 off from 4 to 7."""
    cut(fleet, ("entry-1", "entry-2", "entry-3"))


async def freeze_list(fleet: Fleet) -> None:
    """Replace a VM while the list stays as it is."""
    entries = fleet.vm_list.set_vms
    fleet.vm_list.set_vms = lambda vms: None  # type: ignore[method-assign]
    await fleet.stop_vm("entry-7")
    await fleet.start_vm("entry-8")
    fleet.vm_list.set_vms = entries  # type: ignore[method-assign]


async def replace_all(fleet: Fleet) -> None:
    """Replace every VM, one after the other, gracefully."""
    for index in range(1, N_VMS + 1):
        vm = await fleet.start_vm(f"entry-{index + N_VMS}")
        await wait_until_ready(vm.gateway)
        await fleet.leave_vm(f"entry-{index}")
        fleet.set_state(f"entry-{index}", None)


FAULTS: dict[str, Fault] = {
    "none": no_fault,
    "kill of one VM": kill_one,
    "restart of one VM": restart_one,
    "zone loss, 3 of 7 VMs": lose_zone,
    "partition 3 | 4": cut_three_from_four,
    "stale list, one VM replaced": freeze_list,
    "rolling replacement of all": replace_all,
}


def cut(fleet: Fleet, side: Iterable[str]) -> None:
    """Let no message pass between the agents of ``side`` and the others."""
    inside = frozenset(side)
    for name, vm in fleet.vms.items():
        far = frozenset(fleet.vms) - inside if name in inside else inside
        block(vm.agent.session, far)


def block(session: AgentSession, far: frozenset[str]) -> None:
    """Have asks to the VMs in ``far`` fail."""
    ask = session.channel.ask

    async def ask_in_reach(
        vm: str, address: str, kind: str, body: bytes, timeout_ms: float
    ) -> tuple[PeerIdentity, bytes]:
        if vm in far:
            msg = f"{vm} is cut off"
            raise PeerError(msg)
        return await ask(vm, address, kind, body, timeout_ms)

    session.channel.ask = ask_in_reach  # type: ignore[method-assign]


async def measure_fault(fault: Fault) -> Availability:
    """:returns: what bookings through VMs that run received, each sent once"""
    async with (
        Fleet(FleetSettings(n_vms=N_VMS)) as fleet,
        Callers(fleet, random_state=random.Random(2)) as callers,
    ):
        await wait_until_settled(fleet)
        begun = asyncio.create_task(begin_later(fleet, fault))
        calls = []
        choose = random.Random(3)
        for _ in range(int(RUN_S * CALLS_PER_S)):
            vm = choose.choice(list_ready(fleet))
            calls.append(asyncio.create_task(callers.call(vm, callers.make_key())))
            await asyncio.sleep(1 / CALLS_PER_S)
        outcomes = await asyncio.gather(*calls)
        await begun
        callers.check()
    reasons = Counter(
        f"{outcome.reason or 'no connection'} (ran: {outcome.ran or '-'})"
        for outcome in outcomes
        if outcome.status != 200
    )
    n_answered = sum(outcome.status == 200 for outcome in outcomes)
    return Availability(len(outcomes), n_answered, dict(reasons))


def list_ready(fleet: Fleet) -> list[str]:
    """:returns: VMs that a balancer would send calls to"""
    return sorted(
        name
        for name, vm in fleet.vms.items()
        if vm.gateway.session.state.bundle_version
    )


async def begin_later(fleet: Fleet, fault: Fault) -> None:
    await asyncio.sleep(FAULT_AFTER_S)
    await fault(fleet)


def measure_memory() -> None:
    """Print bytes per claim of a voter, and per finished claim of a claimant."""
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
    """:returns: a claim of the size that gateways make"""
    key = hash_claim_key("barbell-club", str(index))
    return Claim(key, key[::-1], f"{uuid.uuid4().hex}.0", "entry-1")


def main() -> None:
    """Measure everything, or the faults named on the command line."""
    configure_logging(level="CRITICAL")
    wanted = sys.argv[1:] or ["memory", "latency", *FAULTS]
    if "memory" in wanted:
        measure_memory()
    if "latency" in wanted:
        uvloop.run(measure_latency())
    for name in wanted:
        if name in FAULTS:
            found = uvloop.run(measure_fault(FAULTS[name]))
            print(f"{name}: {found.n_answered} of {found.n_calls} answered; ", end="")
            print(found.reasons, flush=True)


if __name__ == "__main__":
    main()
