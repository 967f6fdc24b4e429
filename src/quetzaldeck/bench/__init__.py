"""Discrete-event simulation of a fleet that runs the real decision modules.

A scenario is data: calls, a fleet and faults. :func:`run_scenario` simulates it with
one real scheduler per VM, delayed load reports and the engine cost model, and returns
what each caller received::

    calls = tuple(Call(f"c{i}", i * 10.0, "gym", model=MODEL) for i in range(100))
    faults = (Fault(FaultKind.CRASH, at_ms=500, target="engine-0"),)
    result = run_scenario(Scenario("crash", calls, faults=faults))
    answered = [c for c in result.calls if c.outcome is Outcome.ANSWERED]

To run other policies, pass their names as
:class:`quetzaldeck.decisions.policies.Policies`.
"""

from __future__ import annotations

from quetzaldeck.bench.call import Call
from quetzaldeck.bench.call_result import CallResult, Outcome
from quetzaldeck.bench.fault import Fault, FaultKind
from quetzaldeck.bench.run import run_scenario
from quetzaldeck.bench.run_result import RunResult
from quetzaldeck.bench.scenario import MODEL, SERVICE, ZONES, FleetShape, Scenario

__all__ = (
    "MODEL",
    "SERVICE",
    "ZONES",
    "Call",
    "CallResult",
    "Fault",
    "FaultKind",
    "FleetShape",
    "Outcome",
    "RunResult",
    "Scenario",
    "run_scenario",
)
