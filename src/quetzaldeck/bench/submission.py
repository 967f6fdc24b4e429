"""A call while a VM works on it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.call import Call
    from quetzaldeck.decisions import Request


class CallState:
    """What a caller has seen of its call, over all its submissions."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.first_token_ms: float | None = None
        self.heard_ms = 0.0
        self.longest_gap_ms = 0.0
        self.n_executions = 0
        self.submitted_ms: list[float] = []
        self.upstreams: tuple[str, ...] = ()

    @property
    def n_submissions(self) -> int:
        """:returns: first submission and resends so far"""
        return len(self.submitted_ms)

    def note_token(self, now_ms: float) -> None:
        """Take a token that the caller hears."""
        if self.first_token_ms is None:
            self.first_token_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.heard_ms)
        self.heard_ms = now_ms


class Submission:
    """One submission of a call to one VM."""

    def __init__(self, state: CallState, request: Request) -> None:
        self.state = state
        self.request = request
        self.attempt: BenchAttempt | None = None
        self.n_delivered = 0

    @property
    def has_dispatched(self) -> bool:
        """:returns: whether an attempt was sent"""
        return bool(self.state.upstreams)


__all__ = ("CallState", "Submission")
