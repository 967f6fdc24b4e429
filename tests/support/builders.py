"""Builders shared by the tests of the decision modules."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.bundle.engine_figures import EngineFigures
from quetzaldeck.decisions import Dispatch, LoadReport, Request, Scheduler
from quetzaldeck.decisions.placement import FewChoices
from quetzaldeck.decisions.policies import ENTRY_POLICIES, build_scheduler
from quetzaldeck.decisions.queueing import FifoQueue
from quetzaldeck.decisions.upstream_state import UpstreamState

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.clock import ManualClock
    from quetzaldeck.decisions.retries import ResendBudget

MODEL = "m"


def make_spec(name: str, *, kv_tokens: int = 10_000, zone: str = "") -> UpstreamSpec:
    return UpstreamSpec(
        name,
        "http://127.0.0.1:1",
        models=(MODEL,),
        kv_tokens=kv_tokens,
        availability_zone=zone,
    )


def make_state(name: str, *, kv_tokens: int = 10_000, zone: str = "") -> UpstreamState:
    return UpstreamState(make_spec(name, kv_tokens=kv_tokens, zone=zone))


def make_request(
    request_id: str = "r",
    *,
    n_prompt_tokens: int = 1_000,
    max_output_tokens: int = 10,
    now_ms: float = 1_000.0,
    timeout_ms: float = 60_000.0,
    fingerprint: int = 0,
) -> Request:
    return Request(
        request_id,
        "c",
        MODEL,
        n_prompt_tokens,
        max_output_tokens,
        5,
        now_ms,
        now_ms + timeout_ms,
        fingerprint=fingerprint,
    )


def make_report(
    name: str,
    *,
    incarnation: str = "i1",
    sequence: int = 1,
    age_ms: float = 0.0,
    n_running: int = 0,
    n_prefill_tokens: int = 0,
) -> LoadReport:
    return LoadReport(
        name, incarnation, sequence, age_ms, n_running, 0, 0, n_prefill_tokens
    )


def make_scheduler(
    clock: ManualClock,
    names: tuple[str, ...],
    *,
    kv_tokens: int = 10_000,
    seed: int = 1,
) -> Scheduler:
    placement = FewChoices(random_state=random.Random(seed))
    scheduler = Scheduler(clock=clock, queue=FifoQueue(), placement=placement)
    specs = tuple(make_spec(name, kv_tokens=kv_tokens) for name in names)
    scheduler.apply_bundle(Bundle(1, 1, upstreams=specs))
    return scheduler


FEW_SLOTS = EngineFigures(n_slots=4, kv_tokens=120_000, tokens_per_ms=90.0)
"""Engines with fewer slots than production ones, so that tests fill them quickly."""


def make_entry_scheduler(
    clock: ManualClock,
    names: Iterable[str],
    *,
    figures: EngineFigures = FEW_SLOTS,
    resend_budget: ResendBudget | None = None,
) -> Scheduler:
    """:returns: scheduler of an entry VM whose engines all have the given figures"""
    scheduler = build_scheduler(
        ENTRY_POLICIES,
        clock=clock,
        random_state=random.Random(3),
        resend_budget=resend_budget,
    )
    specs = tuple(
        UpstreamSpec(
            name,
            "http://127.0.0.1:1",
            models=(MODEL,),
            kv_tokens=figures.kv_tokens,
            max_requests=figures.n_slots,
            figures=figures,
        )
        for name in names
    )
    scheduler.apply_bundle(Bundle(1, 1 << 53, upstreams=specs))
    return scheduler


def poll_dispatch(scheduler: Scheduler) -> Dispatch:
    (decision,) = scheduler.poll()
    assert isinstance(decision, Dispatch)
    return decision
