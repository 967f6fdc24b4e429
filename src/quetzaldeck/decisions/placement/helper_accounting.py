"""Accounting of prompt parts on helpers, from the dispatch to the first token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.memory import InFlightAttempt

if TYPE_CHECKING:
    from quetzaldeck.decisions.placement.placement import Placement
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class HelperAccounting:
    """Accounts for the prompt parts that engines prefill for other engines.

    Without it an engine that prefills such parts looks idle to the VM that sent them.

    :param table: all upstreams
    """

    def __init__(self, table: UpstreamTable) -> None:
        self._table = table
        self._helpers: dict[str, tuple[str, ...]] = {}

    def list_helpers(self, attempt_id: str) -> tuple[str, ...]:
        """:returns: helpers of an attempt"""
        return self._helpers.get(attempt_id, ())

    def reserve(
        self, request: Request, attempt_id: str, placement: Placement, now_ms: float
    ) -> None:
        """Account for the helpers of an attempt before it is sent."""
        if not placement.helpers:
            return
        self._helpers[attempt_id] = placement.helpers
        for name in placement.helpers:
            state = self._table.get(name)
            if state is None:
                continue
            n_part_tokens = placement.n_part_tokens(request, state.spec)
            n_queued = state.n_prefill_tokens() + n_part_tokens
            state.add(
                InFlightAttempt(
                    attempt_id,
                    request.request_id,
                    0,
                    n_part_tokens,
                    now_ms,
                    n_queued,
                    is_part=True,
                )
            )

    def release(self, attempt_id: str) -> None:
        """Release the helpers of an attempt: their parts are prefilled or abandoned."""
        for name in self._helpers.pop(attempt_id, ()):
            state = self._table.get(name)
            if state is not None:
                state.discard(attempt_id)


__all__ = ("HelperAccounting",)
