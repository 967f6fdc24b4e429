"""Updates health, crash suspects and cached prefixes from the events of attempts."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.decision import AttemptFault

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from quetzaldeck.decisions.decision import AttemptEnd
    from quetzaldeck.decisions.health.state import HealthState
    from quetzaldeck.decisions.memory import InFlightAttempt
    from quetzaldeck.decisions.placement import PlacementPolicy
    from quetzaldeck.decisions.poison import PoisonRegistry
    from quetzaldeck.decisions.request import Request
    from quetzaldeck.decisions.upstream_state import UpstreamState
    from quetzaldeck.decisions.upstream_table import UpstreamTable

_BROKEN = AttemptFault.BROKEN
_UNSEEN_ENDS = frozenset((_BROKEN, AttemptFault.SILENT))
"""Faults after which upstreams may go on running the request: one that is silent, and
the other members of a group when the connection to one breaks."""

_TURNED_AWAY = frozenset((AttemptFault.OVERLOADED, AttemptFault.RESTING))
"""Faults by which an upstream says that it did not run a request."""

_FAILURES = frozenset(
    (
        AttemptFault.FAILED,
        AttemptFault.SILENT,
        AttemptFault.BROKEN,
        AttemptFault.BAD_ANSWER,
    )
)
"""Faults that count as failures of an upstream. Only an upstream that accepted a
request can fail the request, not one that has left, is overloaded or cannot be
reached."""


class AttemptMonitor:
    """Passes the events of attempts to the modules that learn from them.

    :param table: all upstreams, with their health
    :param policy: learns where prefixes are cached
    :param poison: learns which requests were running on an engine when it crashed
    """

    def __init__(
        self, *, table: UpstreamTable, policy: PlacementPolicy, poison: PoisonRegistry
    ) -> None:
        self._table = table
        self._policy = policy
        self._poison = poison

    def note_first_token(
        self, request: Request, attempt_id: str, upstreams: Sequence[str], now_ms: float
    ) -> None:
        """Record the first token of an attempt: its prompt is prefilled."""
        for name in upstreams:
            state = self._table.get(name)
            if state is None:
                continue
            state.health.note_success(attempt_id, now_ms)
            self._note_survived(state, attempt_id)
            attempt = state.ledger.get(attempt_id)
            if attempt is not None and len(upstreams) == 1:
                elapsed_ms = now_ms - attempt.started_ms
                state.health.note_first_token(
                    attempt.n_queued_tokens, elapsed_ms, now_ms
                )
                self._policy.note_answer(request, state)
            state.mark_prefilled(attempt_id)
            state.ledger.mark_begun(attempt_id, now_ms)

    def note_lived(
        self,
        request: Request,
        attempt_id: str,
        upstreams: Sequence[str],
        begun_ms: float,
        now_ms: float,
    ) -> None:
        """Record that an upstream has survived the beginning of an answer.

        :param begun_ms: when the answer began
        """
        state = self._table.get(upstreams[-1])
        if state is not None:
            state.ledger.mark_lived(attempt_id)
        self._poison.note_lived(request.part_fingerprints, begun_ms, now_ms)

    def note_end(
        self,
        request: Request,
        end: AttemptEnd,
        upstreams: Sequence[str],
        now_ms: float,
    ) -> HealthState | None:
        """Record the end of an attempt.

        :returns: the health state for which its upstream was ejected, if it was
        """
        if end.fault is None:
            self._note_answered(request, end, upstreams, now_ms)
            return None
        name = end.upstream or upstreams[0]
        for upstream in upstreams:
            for fingerprint in request.crash_fingerprints:
                self._poison.note_stopped(fingerprint, upstream, now_ms)
        if end.fault in _UNSEEN_ENDS:
            others = [n for n in upstreams if n != name or end.fault is not _BROKEN]
            self.note_left(request, end.attempt_id, others, now_ms)
        state = self._table.get(name)
        if state is None or end.is_diverted:
            return None
        if end.is_gone:
            self._poison.ends.note_ended(name, now_ms)
        if end.fault is AttemptFault.BROKEN:
            self._note_crash(request, end, state, now_ms)
        self._note_refusal(end, upstreams, state, now_ms)
        if end.fault in _FAILURES:
            state.outcomes.note(now_ms, is_answered=False)
        return state.health.note_fault(end.attempt_id, end.fault, now_ms)

    def _note_refusal(
        self,
        end: AttemptEnd,
        upstreams: Sequence[str],
        state: UpstreamState,
        now_ms: float,
    ) -> None:
        """Record that an upstream refused a request, or a part of a prompt."""
        if _is_help_refused(end, upstreams):
            state.note_help_refused(now_ms)
        elif end.fault in _TURNED_AWAY and end.was_sent:
            state.note_turned_away(now_ms)

    def _note_crash(
        self, request: Request, end: AttemptEnd, state: UpstreamState, now_ms: float
    ) -> None:
        attempt = state.ledger.get(end.attempt_id)
        for fingerprint in self._list_blamed(request, attempt):
            self._poison.note_crash(
                fingerprint,
                state.spec.name,
                end.incarnation or state.incarnation,
                now_ms,
                run_ms=None if attempt is None else now_ms - attempt.started_ms,
                is_proven=not (request.service or self._poison.bounds.needs_proof),
            )

    def note_unanswered(self, upstreams: Sequence[str], now_ms: float) -> None:
        """Record a failure for an attempt that has been unanswered for too long.

        A request that must not be repeated is not retried on another upstream, so it
        ends without a fault when its deadline passes or its caller disconnects.
        """
        state = self._table.get(upstreams[-1])
        if state is not None:
            state.outcomes.note(now_ms, is_answered=False)

    def note_left(
        self, request: Request, attempt_id: str, upstreams: Iterable[str], now_ms: float
    ) -> None:
        """Record that an attempt, which may still run, is not awaited any more."""
        for name in upstreams:
            state = self._table.get(name)
            attempt = None if state is None else state.ledger.get(attempt_id)
            if state is None or attempt is None:
                continue
            for fingerprint in self._list_blamed(request, attempt):
                self._poison.note_left(
                    fingerprint,
                    name,
                    state.incarnation,
                    attempt.started_ms,
                    now_ms,
                    begun_ms=attempt.begun_ms,
                )

    def note_resumed(self, upstreams: Sequence[str], now_ms: float) -> None:
        """Revoke the silence of an attempt that continues: its upstream is healthy."""
        state = self._table.get(upstreams[-1])
        if state is not None:
            state.health.note_resumed()
            state.outcomes.take_back_failure(now_ms)

    def note_alive(self) -> None:
        """Discard crashes that later reports of the same incarnation refute."""
        if not len(self._poison):
            return
        for state in self._table:
            if state.report is not None:
                self._poison.ends.note_alive(
                    state.spec.name, state.incarnation, state.reported_ms
                )

    def _note_answered(
        self,
        request: Request,
        end: AttemptEnd,
        upstreams: Sequence[str],
        now_ms: float,
    ) -> None:
        for name in upstreams:
            state = self._table.get(name)
            if state is not None:
                state.health.note_success(end.attempt_id, now_ms)
                self._note_survived(state, end.attempt_id)
        answering = self._table.get(upstreams[-1])
        if answering is not None:
            answering.outcomes.note(now_ms, is_answered=True)
        if request.fingerprint:
            self._poison.note_answered(request.fingerprint, now_ms)

    def _list_blamed(
        self, request: Request, attempt: InFlightAttempt | None
    ) -> tuple[int, ...]:
        """:returns: what may be to blame if the upstream of an attempt ends

        Parts end it as it begins to write, not later.
        """
        if attempt is not None and attempt.has_lived:
            return request.crash_fingerprints[:1]
        return self._poison.select_recorded(request.crash_fingerprints)

    def _note_survived(self, state: UpstreamState, attempt_id: str) -> None:
        """Record that an upstream lived when it was sent an attempt that it answers.

        The answer may have waited in its socket while this VM was paused, so that the
        time at which it is read proves nothing.
        """
        attempt = state.ledger.get(attempt_id)
        if attempt is not None:
            self._poison.ends.note_survived(state.spec.name, attempt.started_ms)
            state.note_accepted(attempt.started_ms)


def _is_help_refused(end: AttemptEnd, upstreams: Sequence[str]) -> bool:
    """:returns: whether an upstream refused to prefill a part of the prompt

    The upstream was asked as a helper, or as a member of a group of engines.
    """
    if end.fault is AttemptFault.OVERLOADED:
        return end.upstream in upstreams[:-1]
    return end.fault is AttemptFault.HELPER


__all__ = ("AttemptMonitor",)
