"""Measures the TTFT that the gateway adds compared with a direct connection."""

from __future__ import annotations

from typing import NamedTuple

import uvloop

from quetzaldeck.capacity.gateway_bench import build_body, build_bundle, run_calls
from quetzaldeck.capacity.token_source import TokenSource
from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.http import ListenAddress
from quetzaldeck.load.report import Tails, compute_tails

N_CALLS = 300
N_ROUNDS = 3
FIRST_TOKEN_DELAY_MS = 5.0
TOKEN_INTERVAL_MS = 2.0
N_PROMPT_TOKENS = 1_000
N_OUTPUT_TOKENS = 16


class RelayCost(NamedTuple):
    """TTFT in milliseconds of direct calls and of calls through the gateway."""

    direct: Tails
    through_gateway: Tails

    @property
    def added_p50_ms(self) -> float:
        """:returns: difference of the median TTFTs"""
        return self.through_gateway.p50 - self.direct.p50


def measure_relay_cost(concurrency: int) -> RelayCost:
    """Measure direct calls and calls through the gateway in alternating rounds.

    Callers, gateway and engine share one event loop: the figures include the CPU time
    of each, but no thread switches.

    :param concurrency: calls that run at the same time
    :returns: TTFT of short calls
    """
    return uvloop.run(_measure(concurrency))


async def _measure(concurrency: int) -> RelayCost:
    source = TokenSource(
        delay_ms=FIRST_TOKEN_DELAY_MS, token_interval_ms=TOKEN_INTERVAL_MS
    )
    settings = GatewaySettings("vm-1", "zone-1", ListenAddress(), "http://127.0.0.1:1")
    gateway = GatewayService(settings)
    await source.start()
    await gateway.start()
    try:
        gateway.session.state.apply_bundle(build_bundle(source.address))
        body = build_body(N_PROMPT_TOKENS, N_OUTPUT_TOKENS)
        direct: list[float] = []
        through_gateway: list[float] = []
        for _ in range(N_ROUNDS):
            for address, times in (
                (source.address, direct),
                (gateway.address, through_gateway),
            ):
                url = address + "/v1/completions"
                calls = await run_calls(url, body, N_CALLS, concurrency)
                times.extend(call.ttft_ms for call in calls)
    finally:
        await gateway.stop()
        await source.stop()
    return RelayCost(compute_tails(direct), compute_tails(through_gateway))


__all__ = ("RelayCost", "measure_relay_cost")
