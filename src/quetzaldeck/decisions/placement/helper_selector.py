"""Selection of the engines that prefill parts of a prompt for the one that answers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.pools import exclude_slow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.api import PlacementPolicy
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class HelperSelector:
    """Selects helpers among the engines that long prompts may use.

    :param policy: decides how many helpers to use and in which order
    :param head_of_line: excludes engines reserved for short requests
    """

    def __init__(self, policy: PlacementPolicy, head_of_line: HeadOfLinePolicy) -> None:
        self._policy = policy
        self._head_of_line = head_of_line

    def list_prefill_engines(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: engines that may prefill a part of the prompt

        An engine that limits its requests is left to answer those that it takes.
        """
        unlimited = [state for state in pool if not state.pacing.is_limited]
        if not unlimited:
            return ()
        fast = exclude_slow(unlimited, unlimited, now_ms)
        return self._head_of_line.restrict_helpers(request, fast, now_ms)

    def choose(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> tuple[str, ...]:
        """:returns: names of the helpers, least loaded first

        A failure of one helper fails the whole attempt. Each failure of the request
        therefore halves the number of helpers of its next attempt.

        :param chosen: the engine that answers
        :param avoided: upstreams that failed the request, one per failure
        """
        prefill_engines = self.list_prefill_engines(request, pool, now_ms)
        untried = [state for state in prefill_engines if state.spec.name not in avoided]
        helpers = self._policy.choose_helpers(request, chosen, untried, now_ms)
        return helpers[: self._policy.max_helpers >> len(avoided)]


__all__ = ("HelperSelector",)
