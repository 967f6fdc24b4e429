"""Notes what upstreams say of themselves, for placement and for operators."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.messages import ObserveStatement
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.gateway.dispatch_task import DispatchTask
    from quetzaldeck.telemetry import UpstreamMetrics

UNKNOWN_INCARNATION_MS = 60_000.0
"""How long an upstream that reports no incarnation counts as leaving: nothing shows
when a new process has taken its place."""


class StatementNotes:
    """Records statements at once, and has the dispatch task decide by them.

    :param has_unique_names: whether a new process never has the name of an earlier one,
        so that an upstream that leaves leaves for good
    """

    def __init__(
        self,
        dispatch: DispatchTask,
        clock: Clock,
        metrics: UpstreamMetrics,
        *,
        has_unique_names: bool = False,
    ) -> None:
        self._dispatch = dispatch
        self._clock = clock
        self._metrics = metrics
        self._has_unique_names = has_unique_names

    def note(
        self,
        upstream: str,
        incarnation: str,
        *,
        rest_ms: float | None,
        is_leaving: bool,
    ) -> bool:
        """Record what a response says.

        :param incarnation: of the upstream that responds; ``""`` if not known
        :param rest_ms: time for which it wants nothing from this VM; ``None``: none
        :returns: whether the upstream has said for the first time that it leaves
        """
        if rest_ms:
            self._note_rest(upstream, incarnation, rest_ms)
        return is_leaving and self._note_leaving(upstream, incarnation)

    def _note_rest(self, upstream: str, incarnation: str, rest_ms: float) -> None:
        self._metrics.rests.labels(upstream).inc()
        is_new = self._dispatch.statements.note_rest(
            upstream, incarnation, rest_ms, self._clock.now_ms()
        )
        if is_new:
            log_event(
                "upstream_rests",
                upstream=upstream,
                incarnation=incarnation,
                rest_ms=rest_ms,
            )
            self._dispatch.send(ObserveStatement(upstream))

    def _note_leaving(self, upstream: str, incarnation: str) -> bool:
        statements = self._dispatch.statements
        if incarnation or self._has_unique_names:
            is_new = statements.note_leaving(upstream, incarnation)
        else:
            until_ms = self._clock.now_ms() + UNKNOWN_INCARNATION_MS
            is_new = statements.note_leaving(upstream, incarnation, until_ms)
        if is_new:
            log_event("upstream_leaves", upstream=upstream, incarnation=incarnation)
            self._dispatch.send(ObserveStatement(upstream))
        return is_new


__all__ = ("StatementNotes",)
