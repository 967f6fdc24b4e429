"""Placement of a request, with the prefill and memory of each engine."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.groups import GroupPlan

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.request import Request


class Placement(NamedTuple):
    """Upstreams and helpers that run a request.

    :param upstreams: one name, or the members of a group; the last one answers
    :param plan: the reservation to make first, if one is needed
    :param is_probe: whether the request probes an ejected upstream
    :param helpers: engines that prefill parts of the prompt
    """

    upstreams: tuple[str, ...]
    plan: GroupPlan | None = None
    is_probe: bool = False
    helpers: tuple[str, ...] = ()

    def n_reserved_tokens(self, request: Request, index: int) -> int:
        """:returns: memory reserved on the member at ``index``, in tokens"""
        if self.plan is None:
            return request.n_kv_tokens
        return self.plan.reserved_tokens[index]

    def n_member_tokens(self, request: Request, spec: UpstreamSpec, index: int) -> int:
        """:returns: prefill work of the member at ``index``, in tokens"""
        if self.plan is not None and spec.figures is None:
            return self.plan.prompt_tokens[index]
        return self.n_part_tokens(request, spec)

    def n_part_tokens(self, request: Request, spec: UpstreamSpec) -> int:
        """:returns: prefill work per engine of an evenly divided prompt, in tokens"""
        n_engines = len(self.upstreams) + len(self.helpers)
        if spec.figures is None:
            return math.ceil(request.n_prompt_tokens / n_engines)
        return spec.figures.equivalent_tokens(
            request.n_prompt_tokens, n_parts=n_engines
        )


__all__ = ("Placement",)
