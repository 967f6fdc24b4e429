"""Measures the gateway's memory per prompt in flight."""

from __future__ import annotations

import gc
from pathlib import Path

from quetzaldeck.capacity.api import Measurement, MeasurementInfo, measurements
from quetzaldeck.capacity.gateway_bench import GatewayBench
from quetzaldeck.capacity.token_source import TokenSource

PAGE_BYTES = 4_096
N_PROMPT_TOKENS = 1_000_000
FIRST_TOKEN_DELAY_MS = 2_500.0


def read_resident_bytes() -> int:
    """:returns: resident memory of this process"""
    fields = Path("/proc/self/statm").read_text(encoding="ascii").split()
    return int(fields[1]) * PAGE_BYTES


@measurements.register("gateway_memory_per_prompt")
class GatewayMemoryPerPrompt(Measurement):
    """Growth of resident memory by the number of million-token prompts in flight.

    All callers share one body, and the token source frees its copy before it answers,
    so the memory that remains is the gateway's.
    """

    @property
    def info(self) -> MeasurementInfo:
        """:returns: units and sizes of the measurement"""
        return MeasurementInfo("prompts in flight", "bytes", (1, 2, 4, 8))

    def measure(self, size: int) -> float:
        """:returns: peak growth while ``size`` prompts wait for their first token"""
        with GatewayBench(TokenSource(delay_ms=FIRST_TOKEN_DELAY_MS)) as bench:
            bench.call(n_calls=1, n_output_tokens=1)
            gc.collect()
            before = read_resident_bytes()
            samples: list[int] = []
            bench.call(
                n_calls=size,
                concurrency=size,
                n_output_tokens=1,
                n_prompt_tokens=N_PROMPT_TOKENS,
                sample=lambda: samples.append(read_resident_bytes()),
            )
            return max(samples) - before


__all__ = ("GatewayMemoryPerPrompt",)
