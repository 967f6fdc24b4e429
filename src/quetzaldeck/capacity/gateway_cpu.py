"""Measures the gateway's CPU time per chunk, per request and per prompt token."""

from __future__ import annotations

from quetzaldeck.capacity.api import Measurement, MeasurementInfo, measurements
from quetzaldeck.capacity.gateway_bench import GatewayBench
from quetzaldeck.capacity.token_source import TokenSource

N_CALLS = 24
CONCURRENCY = 4
N_WARMUP_CALLS = 8


def _measure_cpu(*, n_output_tokens: int, n_prompt_tokens: int) -> float:
    """:returns: gateway CPU time of one call in milliseconds"""
    with GatewayBench(TokenSource()) as bench:
        bench.call(n_calls=N_WARMUP_CALLS, n_output_tokens=16)
        before_ms = bench.gateway_cpu_ms
        bench.call(
            n_calls=N_CALLS,
            concurrency=CONCURRENCY,
            n_output_tokens=n_output_tokens,
            n_prompt_tokens=n_prompt_tokens,
        )
        return (bench.gateway_cpu_ms - before_ms) / N_CALLS


@measurements.register("gateway_cpu_per_chunk")
class GatewayCpuPerChunk(Measurement):
    """CPU time of a call by the length of its answer."""

    @property
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""
        return MeasurementInfo("chunks", "CPU ms per call", (64, 256, 512, 1_024))

    def measure(self, size: int) -> float:
        """:returns: CPU time of a call with ``size`` chunks"""
        return _measure_cpu(n_output_tokens=size, n_prompt_tokens=1_000)


@measurements.register("gateway_cpu_per_prompt_token")
class GatewayCpuPerPromptToken(Measurement):
    """CPU time of a call by the length of its prompt."""

    @property
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""
        sizes = (1_000, 50_000, 200_000, 800_000)
        return MeasurementInfo("prompt tokens", "CPU ms per call", sizes)

    def measure(self, size: int) -> float:
        """:returns: CPU time of a call with a prompt of ``size`` tokens"""
        return _measure_cpu(n_output_tokens=16, n_prompt_tokens=size)


__all__ = ("GatewayCpuPerChunk", "GatewayCpuPerPromptToken")
