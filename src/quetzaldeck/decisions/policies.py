"""Selects registered policies by name and builds the scheduler from them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.decisions.admission import admission_policies
from quetzaldeck.decisions.groups import GroupBounds
from quetzaldeck.decisions.head_of_line import head_of_line_policies
from quetzaldeck.decisions.placement import placement_policies
from quetzaldeck.decisions.poison import PoisonBounds
from quetzaldeck.decisions.queueing import queue_policies
from quetzaldeck.decisions.scheduler import Scheduler

if TYPE_CHECKING:
    import random

    from quetzaldeck.clock import Clock
    from quetzaldeck.decisions.retries import ResendBudget


class Policies(NamedTuple):
    """Names of the selected policies."""

    queue: Annotated[str, Option("Queue policy.")] = "fair"
    placement: Annotated[str, Option("Placement policy.")] = "few_choices"
    admission: Annotated[str, Option("Admission policy.")] = "predicted_wait"
    head_of_line: Annotated[str, Option("Head-of-line policy.")] = "lanes"


BASELINE_ROUND_ROBIN = Policies("fifo", "round_robin", "bounds", "none")
BASELINE_LEAST_REPORTED = Policies("fifo", "least_reported", "bounds", "none")

ENTRY_POLICIES = Policies("fair", "first_token", "predicted_wait", "reading_lane")
"""Policies of an entry VM, whose engines have a configured speed and can prefill
prompts in parts."""

ENTRY_GROUPS = GroupBounds(prefers_zone=False, min_members=6, max_wait_ms=300.0)
"""Reservation requests cost little, while refused memory fails a long prompt. After
``max_wait_ms``, other members with free memory are tried."""

ENTRY_POISON = PoisonBounds(needs_proof=True)
"""Replicas there send no reports by which a crash could be refuted later."""


def build_scheduler(
    policies: Policies,
    *,
    clock: Clock,
    random_state: random.Random,
    availability_zone: str = "",
    resend_budget: ResendBudget | None = None,
    groups: GroupBounds | None = None,
    poison: PoisonBounds | None = None,
    has_fair_shares: bool = False,
) -> Scheduler:
    """:returns: the scheduler of one VM, in the gateway and in the bench alike

    :raises UnknownNameError: if a policy is not registered
    """
    placement = placement_policies.get(policies.placement)(
        random_state=random_state, availability_zone=availability_zone
    )
    queue = queue_policies.get(policies.queue)()
    return Scheduler(
        clock=clock,
        queue=queue,
        placement=placement,
        admission=admission_policies.get(policies.admission)(random_state=random_state),
        head_of_line=head_of_line_policies.get(policies.head_of_line)(),
        resend_budget=resend_budget,
        groups=groups,
        poison=poison,
        has_fair_shares=has_fair_shares,
    )


__all__ = (
    "BASELINE_LEAST_REPORTED",
    "BASELINE_ROUND_ROBIN",
    "ENTRY_GROUPS",
    "ENTRY_POISON",
    "ENTRY_POLICIES",
    "Policies",
    "build_scheduler",
)
