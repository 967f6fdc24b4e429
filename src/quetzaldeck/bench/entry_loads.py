"""Fleets and load patterns of the entry VM simulation."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.bench.entry_mixture import Burst, EntryMixture
from quetzaldeck.bench.fault import Fault, FaultKind
from quetzaldeck.bench.scenario import FleetShape, Scenario
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions.policies import ENTRY_GROUPS

DURATION_MS = 40_000.0
BEGIN_MS = 12_000.0
END_MS = 22_000.0
"""Bursts and faults last from ``BEGIN_MS`` to ``END_MS``."""


class EntryFleet(NamedTuple):
    """A fleet and the load offered to it.

    :param scale: factor on the arrival rates of the mixture
    """

    name: str
    shape: FleetShape
    scale: float


def _build_shape(
    n_vms: int, n_engines: int, n_services: int, figures: EngineFigures
) -> FleetShape:
    return FleetShape(
        n_vms=n_vms,
        n_engines=n_engines,
        n_services=n_services,
        service_ms=22.5,
        n_service_workers=6,
        figures=figures,
        groups=ENTRY_GROUPS,
    )


_FAST = EngineFigures(
    n_slots=8,
    kv_tokens=230_000,
    tokens_per_ms=200.0,
    pairs_ms_per_million=0.14,
    step_ms=1.0,
    sequence_ms=0.0023,
    context_ms_per_k=0.0043,
    stride=43,
    usual_prompt_tokens=5_000,
)

FLEETS = (
    EntryFleet("fourteen engines", _build_shape(7, 14, 3, _FAST), 1.0),
    EntryFleet(
        "forty-five engines",
        _build_shape(12, 45, 3, _FAST._replace(n_slots=6, kv_tokens=197_000)),
        2.5,
    ),
    EntryFleet(
        "five slow engines of large memory",
        _build_shape(
            3,
            5,
            2,
            _FAST._replace(
                n_slots=16, kv_tokens=600_000, tokens_per_ms=120.0, stride=20
            ),
        ),
        0.25,
    ),
    EntryFleet(
        "thirty engines, four slots, cheap pairs",
        _build_shape(
            6,
            30,
            3,
            _FAST._replace(n_slots=4, kv_tokens=150_000, pairs_ms_per_million=0.05),
        ),
        1.6,
    ),
)
"""Two fleets of about the size of real deployments, and two whose engines differ in
speed, memory and slots. The others check that decisions follow the configured engine
figures and are not tuned to one deployment."""


def list_scenarios(fleet: EntryFleet, random_state: int) -> tuple[Scenario, ...]:
    """:returns: a scenario for each load pattern on ``fleet``"""
    steady = EntryMixture(DURATION_MS, fleet.scale, random_state=random_state)
    n_engines = fleet.shape.n_engines
    slow = Fault(FaultKind.SLOW, BEGIN_MS, "engine-0", END_MS, factor=5.0)
    n_crashed = max(1, n_engines // 3)
    crashes = tuple(
        Fault(FaultKind.CRASH, BEGIN_MS, f"engine-{index}", END_MS)
        for index in range(n_crashed)
    )
    patterns = {
        "steady": (steady, ()),
        "long prompts in a burst": (_burst(steady, "history", 2.7), ()),
        "short prompts in a burst": (_burst(steady, "plan", 2.5), ()),
        "one customer sends half of all": (steady._replace(hot_share=0.5), ()),
        "callers leave": (steady._replace(disconnecting_share=0.3), ()),
        "a slow engine": (steady, (slow,)),
        "a third of the engines crash together": (steady, crashes),
    }
    return tuple(
        Scenario(name, mixture.draw_calls(), fleet.shape, faults, random_state=1)
        for name, (mixture, faults) in patterns.items()
    )


def _burst(mixture: EntryMixture, kind: str, factor: float) -> EntryMixture:
    return mixture._replace(bursts=(Burst(kind, BEGIN_MS, END_MS, factor),))


__all__ = ("FLEETS", "EntryFleet", "list_scenarios")
