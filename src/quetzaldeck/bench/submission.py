"""State of a call, and of its current submission to a VM."""

from __future__ import annotations

from typing import TYPE_CHECKING

import xxhash

from quetzaldeck.decisions import Request

if TYPE_CHECKING:
    from quetzaldeck.bench.bench_attempt import BenchAttempt
    from quetzaldeck.bench.call import Call
    from quetzaldeck.outcomes import Failure


class CallState:
    """What the caller has received for its call, over all submissions."""

    def __init__(self, call: Call) -> None:
        self.call = call
        self.first_token_ms: float | None = None
        self.last_token_ms = 0.0
        self.longest_gap_ms = 0.0
        self.n_executions = 0
        self.submitted_ms: list[float] = []
        self.upstreams: tuple[str, ...] = ()

    @property
    def n_submissions(self) -> int:
        """:returns: number of submissions so far, resends included"""
        return len(self.submitted_ms)

    def note_token(self, now_ms: float) -> None:
        """Record a token that reaches the caller."""
        if self.first_token_ms is None:
            self.first_token_ms = now_ms
        else:
            self.longest_gap_ms = max(self.longest_gap_ms, now_ms - self.last_token_ms)
        self.last_token_ms = now_ms


class Submission:
    """A submission of a call to a VM."""

    def __init__(self, state: CallState, request: Request) -> None:
        self.state = state
        self.request = request
        self.attempt: BenchAttempt | None = None
        self.replaced: list[BenchAttempt] = []
        """Silent attempts that run until the one that replaces them writes."""
        self.failure: Failure | None = None
        """Why nothing replaces the silent attempts; ``None``: something may."""
        self.n_delivered = 0

    @property
    def living(self) -> list[BenchAttempt]:
        """:returns: the attempts that may yet write"""
        return [*self.replaced, *([self.attempt] if self.attempt is not None else [])]

    @property
    def has_dispatched(self) -> bool:
        """:returns: whether an attempt was dispatched"""
        return bool(self.state.upstreams)


def build_request(state: CallState, now_ms: float) -> Request:
    """:returns: the scheduler's request for a call that arrives at ``now_ms``"""
    call = state.call
    return Request(
        request_id=f"{call.call_id}/{state.n_submissions}",
        customer=call.customer,
        model=call.model,
        service=call.service,
        n_prompt_tokens=call.n_estimated_tokens or call.n_prompt_tokens,
        max_output_tokens=call.max_output_tokens,
        priority=call.priority,
        weight=call.weight,
        arrived_ms=now_ms,
        deadline_ms=now_ms + call.deadline_ms,
        prefix_hashes=call.hash_prefixes(),
        fingerprint=_fingerprint(call),
        is_repeatable=call.is_repeatable,
        target_ms=call.target_ms,
        max_gap_ms=call.max_gap_ms,
        caller_idle_timeout_ms=call.caller_idle_timeout_ms,
    )


def _fingerprint(call: Call) -> int:
    name = call.fingerprint_id or call.call_id
    return xxhash.xxh3_64_intdigest(name.encode())


__all__ = ("CallState", "Submission", "build_request")
