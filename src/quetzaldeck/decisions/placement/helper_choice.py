"""Which engines read parts of a prompt for the one that answers it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.health.pace import exclude_slow

if TYPE_CHECKING:
    from collections.abc import Sequence

    from quetzaldeck.decisions.head_of_line import HeadOfLinePolicy
    from quetzaldeck.decisions.placement.api import PlacementPolicy
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState


class HelperChoice:
    """Chooses helpers among the engines that long prompts may take.

    :param policy: says how many help, and which first
    :param head_of_line: keeps engines free of long prompts
    """

    def __init__(self, policy: PlacementPolicy, head_of_line: HeadOfLinePolicy) -> None:
        self._policy = policy
        self._head_of_line = head_of_line

    def list_readers(
        self, request: Request, pool: Sequence[UpstreamState], now_ms: float
    ) -> Sequence[UpstreamState]:
        """:returns: engines that may read a part of the prompt"""
        fast = exclude_slow(pool, pool, now_ms)
        return self._head_of_line.restrict_helpers(request, fast, now_ms)

    def choose(
        self,
        request: Request,
        chosen: str,
        pool: Sequence[UpstreamState],
        avoided: Sequence[str],
        now_ms: float,
    ) -> tuple[str, ...]:
        """:returns: names of the helpers, least busy first

        One helper that fails fails the whole attempt, so that each failure of the
        request halves the number that its next attempt may depend on.

        :param chosen: the engine that answers
        :param avoided: upstreams that failed the request, one for each failure
        """
        readers = self.list_readers(request, pool, now_ms)
        fresh = [state for state in readers if state.spec.name not in avoided]
        helpers = self._policy.choose_helpers(request, chosen, fresh, now_ms)
        return helpers[: self._policy.max_helpers >> len(avoided)]


__all__ = ("HelperChoice",)
