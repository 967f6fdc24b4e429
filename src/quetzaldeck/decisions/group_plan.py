"""Division of a prompt among the members of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.group_bounds import GroupBounds
    from quetzaldeck.decisions.request import Request


class GroupPlan(NamedTuple):
    """Members of a group in canonical order, with the part and memory of each.

    The last member prefills the last part and generates the answer.

    :param upstreams: names in ascending order, in which every VM reserves
    :param prompt_tokens: estimated prompt tokens of each member's part
    :param reserved_tokens: memory reserved on each member, in tokens
    """

    upstreams: tuple[str, ...]
    prompt_tokens: tuple[int, ...]
    reserved_tokens: tuple[int, ...]


def n_reservable_tokens(spec: UpstreamSpec, bounds: GroupBounds) -> int:
    """:returns: memory of an engine that reservations may take, in tokens"""
    return math.floor(spec.kv_tokens * (1.0 - bounds.unreserved_share))


def build_plan(
    request: Request, members: Sequence[UpstreamSpec], bounds: GroupBounds
) -> GroupPlan | None:
    """Divide a prompt among engines in proportion to their capacity.

    Names sort the same on every VM. Two VMs that reserve overlapping groups therefore
    wait for each other in one direction only and cannot deadlock.

    :returns: the plan; ``None`` if the members cannot hold the prompt
    """
    ordered = sorted(members, key=_name)
    capacities = [n_reservable_tokens(spec, bounds) for spec in ordered]
    capacities[-1] -= request.max_output_tokens
    total = sum(capacities)
    if min(capacities) < 1 or request.n_prompt_tokens * bounds.margin > total:
        return None
    parts = [
        math.floor(request.n_prompt_tokens * capacity / total)
        for capacity in capacities
    ]
    parts[0] += request.n_prompt_tokens - sum(parts)
    reserved = [
        min(capacity, math.ceil(part * bounds.margin))
        for part, capacity in zip(parts, capacities, strict=True)
    ]
    reserved[-1] += request.max_output_tokens
    return GroupPlan(
        tuple(spec.name for spec in ordered), tuple(parts), tuple(reserved)
    )


def _name(spec: UpstreamSpec) -> str:
    return spec.name


__all__ = ("GroupPlan", "build_plan", "n_reservable_tokens")
