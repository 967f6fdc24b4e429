"""How a prompt is spread over the members of a group."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.groups.bounds import GroupBounds
    from quetzaldeck.decisions.request import Request


class GroupPlan(NamedTuple):
    """The members of a group in canonical order and what each holds.

    The last member prefills the last part and generates the answer.

    :param upstreams: names, ascending: every VM reserves in this order
    :param prompt_tokens: estimated prompt tokens of each member's part
    :param reserved_tokens: memory reserved on each member
    """

    upstreams: tuple[str, ...]
    prompt_tokens: tuple[int, ...]
    reserved_tokens: tuple[int, ...]


def n_reservable_tokens(spec: UpstreamSpec, bounds: GroupBounds) -> int:
    """:returns: memory of an engine that reservations may take"""
    return math.floor(spec.kv_tokens * (1.0 - bounds.unreserved_share))


def build_plan(
    request: Request, members: Sequence[UpstreamSpec], bounds: GroupBounds
) -> GroupPlan | None:
    """Spread a prompt over engines in proportion to their room.

    Names sort the same on every VM. Two VMs that reserve overlapping groups
    therefore wait for each other in one direction only, never in a circle.

    :returns: the plan, ``None`` if the members cannot hold the prompt
    """
    ordered = sorted(members, key=_name)
    rooms = [n_reservable_tokens(spec, bounds) for spec in ordered]
    rooms[-1] -= request.max_output_tokens
    total = sum(rooms)
    if min(rooms) < 1 or request.n_prompt_tokens * bounds.margin > total:
        return None
    parts = [math.floor(request.n_prompt_tokens * room / total) for room in rooms]
    parts[0] += request.n_prompt_tokens - sum(parts)
    reserved = [
        min(room, math.ceil(part * bounds.margin))
        for part, room in zip(parts, rooms, strict=True)
    ]
    reserved[-1] += request.max_output_tokens
    return GroupPlan(
        tuple(spec.name for spec in ordered), tuple(parts), tuple(reserved)
    )


def _name(spec: UpstreamSpec) -> str:
    return spec.name


__all__ = ("GroupPlan", "build_plan", "n_reservable_tokens")
