"""The runs of ``make bench-entry``: entry VMs and baselines under each load pattern."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.bench.call_result import Outcome
from quetzaldeck.bench.entry_loads import FLEETS, list_scenarios
from quetzaldeck.bench.entry_mixture import KINDS
from quetzaldeck.bench.run import run_scenario
from quetzaldeck.bench.tails import Tails, compute_tails
from quetzaldeck.decisions.policies import ENTRY_POLICIES, Policies

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bench.call_result import CallResult
    from quetzaldeck.bench.run_result import RunResult

POLICIES = {
    "least busy, whole prompts": Policies("fifo", "few_choices", "bounds", "none"),
    "least busy, parts on all": Policies("fifo", "first_token", "bounds", "none"),
    "entry": ENTRY_POLICIES,
}
"""Policies of entry VMs and two baselines: each prompt whole on one replica, and long
prompts divided among whichever engines are least busy. Neither baseline limits how much
is admitted."""


class KindSummary(NamedTuple):
    """Results of the calls of one kind.

    :param n: calls whose callers were not set to disconnect
    :param n_in_time: calls answered whole within their time limits
    :param first_ms: time to first token of the calls that received one
    """

    n: int
    n_in_time: int
    n_answered: int
    n_refused: int
    first_ms: Tails


class EntryRun(NamedTuple):
    """One load pattern on one fleet under one policy.

    :param n_caller_timeouts: callers that disconnected at their idle timeout
    :param n_violations: calls lost, executed twice, or refused with ``ran: no``
        although they ran
    :param n_kv_tokens_left: KV cache tokens that engines still hold at the end
    """

    fleet: str
    pattern: str
    policy: str
    kinds: dict[str, KindSummary]
    n_caller_timeouts: int
    n_violations: int
    n_kv_tokens_left: int

    @property
    def share_in_time(self) -> float:
        """:returns: share of calls answered in time, averaged over the kinds"""
        shares = [k.n_in_time / k.n for k in self.kinds.values() if k.n]
        return sum(shares) / len(shares) if shares else 0.0


def run_entry_suite(
    *, random_state: int = 1, report: Callable[[EntryRun], None] | None = None
) -> tuple[EntryRun, ...]:
    """:returns: a run of every pattern on every fleet under every policy

    :param report: called with each run when it ends
    """
    runs = []
    for fleet in FLEETS:
        for scenario in list_scenarios(fleet, random_state):
            for name, policies in POLICIES.items():
                result = run_scenario(scenario, policies)
                run = summarise_entry(fleet.name, name, result)
                runs.append(run)
                if report is not None:
                    report(run)
    return tuple(runs)


def summarise_entry(fleet: str, policy: str, result: RunResult) -> EntryRun:
    """:returns: summary of a run by kind of call"""
    connected = [
        item for item in result.calls if item.call.disconnects_after_ms is None
    ]
    return EntryRun(
        fleet,
        result.scenario.name,
        policy,
        {
            kind.name: _summarise_kind([i for i in connected if _is_of(i, kind.name)])
            for kind in KINDS
        },
        sum(item.outcome is Outcome.GONE for item in connected),
        sum(
            item.outcome is Outcome.LOST or item.is_doubled or item.is_false_refusal
            for item in result.calls
        ),
        result.n_kv_tokens_left,
    )


def _is_of(item: CallResult, kind: str) -> bool:
    return item.call.call_id.startswith(f"{kind}/")


def _summarise_kind(items: list[CallResult]) -> KindSummary:
    return KindSummary(
        len(items),
        sum(item.is_in_time for item in items),
        sum(item.outcome is Outcome.ANSWERED for item in items),
        sum(item.outcome is Outcome.REFUSED for item in items),
        compute_tails(i.ttft_ms for i in items if i.ttft_ms is not None),
    )


__all__ = (
    "POLICIES",
    "EntryRun",
    "KindSummary",
    "run_entry_suite",
    "summarise_entry",
)
