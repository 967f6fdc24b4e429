"""State of one simulated attempt."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.bench.attempt_watch import AttemptWatch
    from quetzaldeck.bench.bench_group import BenchGroup
    from quetzaldeck.bench.bench_vm import BenchVm
    from quetzaldeck.bench.call import Call
    from quetzaldeck.bench.split_prefill import SplitPrefill
    from quetzaldeck.decisions import Dispatch


class BenchAttempt:
    """A request sent to an upstream, and the VM that sent it.

    :param n_delivered: tokens that the caller received from earlier attempts
    """

    # has_begun: an event was written, so the request counts as running; group: the
    # engines that reserve memory; split: the engines that prefill a part each.

    def __init__(
        self, vm: BenchVm, call: Call, dispatch: Dispatch, n_delivered: int = 0
    ) -> None:
        self.vm = vm
        self.call = call
        self.dispatch = dispatch
        self.n_delivered = n_delivered
        self.is_silent = False
        self.has_begun = False
        self.group: BenchGroup | None = None
        self.split: SplitPrefill | None = None
        self.watch: AttemptWatch | None = None

    @property
    def attempt_id(self) -> str:
        """:returns: unique id of the attempt"""
        return self.dispatch.attempt_id


__all__ = ("BenchAttempt",)
