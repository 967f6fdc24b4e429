"""Short fault runs on real processes."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import uvloop
from tests.ports import choose_port
from tests.soak.own import FaultRun, RunResult, RunSettings, WorldSettings
from tests.soak.process_control import ProcessControl

if TYPE_CHECKING:
    from pathlib import Path

SMALL_WORLD = WorldSettings(n_vms=3, n_engines=3, n_services=1)


async def run_fault(directory: Path, fault_names: tuple[str, ...]) -> RunResult:
    settings = RunSettings(
        fault_names,
        seed=1,
        world=SMALL_WORLD,
        requests_per_second=20.0,
        before_ms=500.0,
        fault_ms=1_000.0,
        after_ms=500.0,
    )
    async with ProcessControl(directory) as control:
        return await FaultRun(settings, control, choose_port).run()


@pytest.mark.parametrize("fault_name", ["kill_vm", "partition", "resting_engine"])
def test_fault_run_violates_no_invariant(tmp_path: Path, fault_name: str) -> None:
    """Faults of VMs, agents and engines under bookings and model calls.

    Callers resend bookings through other VMs; no call may run twice, get lost or
    receive the answer to another call.
    """
    result = uvloop.run(run_fault(tmp_path, (fault_name,)))
    assert result.violations == []
    assert result.report.n_answered > 0
