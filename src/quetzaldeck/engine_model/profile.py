"""Parameters of the engine cost model."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class EngineProfile(NamedTuple):
    """Speed and size of an engine; the defaults resemble one 8-way server."""

    kv_tokens: Annotated[int, Option("Memory.", unit="tokens", minimum=1)] = 400_000
    prefill_tokens_per_s: Annotated[
        float, Option("Prefill rate at short context.", unit="tokens/s", minimum=1)
    ] = 20_000.0
    attention_tokens: Annotated[
        int,
        Option("Context at which a prefill token costs twice as much.", unit="tokens"),
    ] = 200_000
    step_ms: Annotated[float, Option("Fixed cost of a step.", unit="ms")] = 8.0
    decode_ms_per_sequence: Annotated[
        float, Option("Cost of each decoding sequence in a step.", unit="ms")
    ] = 0.2
    max_step_tokens: Annotated[
        int, Option("Prefill tokens in one step.", unit="tokens", minimum=1)
    ] = 2_048
    reservation_floor: Annotated[
        float,
        Option("Share of the memory that reservations leave.", minimum=0, maximum=1),
    ] = 0.25
    max_batch: Annotated[int, Option("Sequences in the batch.", minimum=1)] = 64
    cache_tokens: Annotated[
        int, Option("Memory of the prefix cache.", unit="tokens", minimum=0)
    ] = 200_000


__all__ = ("EngineProfile",)
