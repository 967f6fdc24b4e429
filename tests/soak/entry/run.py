"""One run of the soak."""

from __future__ import annotations

import asyncio
import random
import tempfile
from contextlib import suppress
from pathlib import Path
from typing import TYPE_CHECKING, NamedTuple

from tests.soak.entry.callers import Callers
from tests.soak.entry.checks import check_history
from tests.soak.entry.faults import FAULTS, PlannedFault, inject, plan_faults
from tests.soak.entry.history import record_loop_stalls
from tests.soak.entry.leaving_checks import check_leaving, list_cut_calls
from tests.soak.entry.log_checks import check_logs
from tests.soak.entry.world import FREE_MS, MEMORY_MB, SoakWorld

if TYPE_CHECKING:
    from collections.abc import Sequence

RATE_PER_S = 40.0
RELEASE_TOLERANCE_S = 1.0
LOG_DELAY_S = 0.3
"""Time for a VM to write the lines on its last calls."""


class SoakResult(NamedTuple):
    """Result of a run.

    :param faults: names of the injected faults, in order
    :param findings: violated invariants
    :param logs: log output of the processes, by VM
    :param cut_off: calls that VMs cut off as they left, which they may
    """

    seed: int
    faults: tuple[str, ...]
    n_calls: int
    n_answered: int
    findings: tuple[str, ...]
    logs: dict[str, str]
    cut_off: tuple[str, ...] = ()


async def run_soak(
    seed: int,
    *,
    duration_s: float,
    n_vms: int = 3,
    rate_per_s: float = RATE_PER_S,
    memory_mb: float = MEMORY_MB,
    plan: Sequence[PlannedFault] | None = None,
) -> SoakResult:
    """Run VMs under faults, let them settle, and check the recorded history.

    :param memory_mb: memory of each VM
    :param plan: faults to inject; drawn from the seed among all faults if not given
    """
    if plan is None:
        plan = plan_faults(random.Random(seed), duration_s, tuple(FAULTS))
    with tempfile.TemporaryDirectory() as directory:
        world = SoakWorld(Path(directory), seed=seed, n_vms=n_vms, memory_mb=memory_mb)
        async with world:
            async with Callers(world) as callers:
                polling = asyncio.gather(
                    callers.poll_readiness(), record_loop_stalls(world.history)
                )
                await world.wait_ready()
                sending = asyncio.create_task(
                    callers.send_calls(duration_s + 3.0, rate_per_s)
                )
                faults = await inject(world, plan)
                await sending
                await asyncio.sleep(FREE_MS / 1_000 + RELEASE_TOLERANCE_S)
                n_reserved = sum(
                    replica.n_reserved() for replica in world.replicas.values()
                )
                polling.cancel()
                with suppress(asyncio.CancelledError):
                    await polling
            await asyncio.sleep(LOG_DELAY_S)
        findings = check_history(world.history)
        if n_reserved:
            findings.append(f"memory: {n_reserved} reservations were not released")
        logs = {vm.name: vm.process.log for vm in world.vms}
        findings += check_logs(world.history, logs)
        findings += check_leaving(world.history)
    calls = world.history.calls
    n_answered = sum(call.status == 200 and call.is_complete for call in calls)
    return SoakResult(
        seed,
        tuple(faults),
        len(calls),
        n_answered,
        tuple(findings),
        logs,
        tuple(
            call.render() for call in list_cut_calls(world.history) if call.is_excused
        ),
    )


__all__ = ("RATE_PER_S", "SoakResult", "run_soak")
