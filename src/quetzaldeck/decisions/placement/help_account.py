"""What helpers have to read, from the dispatch to the first token."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.memory import InFlightAttempt

if TYPE_CHECKING:
    from quetzaldeck.decisions.placement.place import Place
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_table import UpstreamTable


class HelpAccount:
    """Accounts for the parts of prompts that engines read for other ones.

    Without it an engine that reads parts looks idle to the VM that sent them there.

    :param table: all upstreams
    """

    def __init__(self, table: UpstreamTable) -> None:
        self._table = table
        self._helpers: dict[str, tuple[str, ...]] = {}

    def list_helpers(self, attempt_id: str) -> tuple[str, ...]:
        """:returns: engines that read parts of the prompt of an attempt"""
        return self._helpers.get(attempt_id, ())

    def begin(
        self, request: Request, attempt_id: str, place: Place, now_ms: float
    ) -> None:
        """Account for the helpers of an attempt before it is sent."""
        if not place.helpers:
            return
        self._helpers[attempt_id] = place.helpers
        for name in place.helpers:
            state = self._table.get(name)
            if state is None:
                continue
            n_part = place.n_part(request, state.spec)
            n_queued = state.n_prefill_tokens() + n_part
            state.add(
                InFlightAttempt(
                    attempt_id,
                    request.request_id,
                    0,
                    n_part,
                    now_ms,
                    n_queued,
                    is_part=True,
                )
            )

    def end(self, attempt_id: str) -> None:
        """Release what helpers hold: their parts are read, or will not be."""
        for name in self._helpers.pop(attempt_id, ()):
            state = self._table.get(name)
            if state is not None:
                state.discard(attempt_id)


__all__ = ("HelpAccount",)
