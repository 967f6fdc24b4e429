"""State of one simulated attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

if TYPE_CHECKING:
    from quetzaldeck.bench.attempt_parties import (
        AttemptGroup,
        AttemptSplit,
        SilenceWatch,
    )
    from quetzaldeck.bench.call import Call
    from quetzaldeck.decisions import AttemptFault, Dispatch, LoadReport, Scheduler


class AttemptOwner(Protocol):
    """The VM that sent an attempt."""

    @property
    def scheduler(self) -> Scheduler:
        """:returns: the VM's scheduler"""

    def is_running(self, attempt: BenchAttempt) -> bool:
        """:returns: whether this attempt of an open submission may yet write"""

    def count_execution(self, attempt: BenchAttempt) -> None:
        """Count an execution: an upstream began to run the attempt."""

    def receive(self, attempt: BenchAttempt, *, is_last: bool) -> None:
        """Receive a token from an upstream."""

    def observe_load(self, report: LoadReport) -> None:
        """Receive a load report from an upstream."""

    def leave_attempt(self, attempt: BenchAttempt) -> None:
        """Let a silent attempt run until the one that replaces it writes."""

    def fail_attempt(
        self,
        attempt: BenchAttempt,
        fault: AttemptFault,
        *,
        may_have_run: bool = True,
        upstream: str = "",
    ) -> None:
        """Learn from an upstream that an attempt failed."""

    def schedule_idle_timeout(
        self, attempt: BenchAttempt, idle_timeout_ms: float
    ) -> None:
        """Fail the attempt as silent after ``idle_timeout_ms``."""


class BenchAttempt:
    """A request sent to an upstream, and the VM that sent it.

    :param n_delivered: tokens that the caller received from earlier attempts
    """

    # has_begun: an event was written, so the request counts as running; group: the
    # engines that reserve memory; split: the engines that prefill a part each.

    def __init__(
        self, vm: AttemptOwner, call: Call, dispatch: Dispatch, n_delivered: int = 0
    ) -> None:
        self.vm = vm
        self.call = call
        self.dispatch = dispatch
        self.n_delivered = n_delivered
        self.is_silent = False
        self.has_begun = False
        self.group: AttemptGroup | None = None
        self.split: AttemptSplit | None = None
        self.watch: SilenceWatch | None = None

    @property
    def attempt_id(self) -> str:
        """:returns: unique id of the attempt"""
        return self.dispatch.attempt_id


__all__ = ("AttemptOwner", "BenchAttempt")
