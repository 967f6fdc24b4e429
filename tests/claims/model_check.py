"""Random search for a history that violates a guarantee of the protocol."""

from __future__ import annotations

from typing import TYPE_CHECKING

from hypothesis import HealthCheck, Phase, settings
from hypothesis.stateful import run_state_machine_as_test
from tests.claims.machine import ClaimMachine

if TYPE_CHECKING:
    from tests.claims.model import ModelFleet


def check_fleet(
    fleet_class: type[ModelFleet],
    *,
    n_examples: int,
    n_steps: int,
    is_random: bool = False,
) -> None:
    """Check random histories of a fleet.

    :param is_random: whether each run uses different histories
    :raises AssertionError: if a history violates a guarantee
    """
    machine = type("Machine", (ClaimMachine,), {"fleet_class": fleet_class})
    phases = [Phase.generate, Phase.shrink] if is_random else [Phase.generate]
    run_state_machine_as_test(
        machine,
        settings=settings(
            max_examples=n_examples,
            stateful_step_count=n_steps,
            derandomize=not is_random,
            deadline=None,
            database=None,
            phases=phases,
            suppress_health_check=list(HealthCheck),
        ),
    )


__all__ = ("check_fleet",)
