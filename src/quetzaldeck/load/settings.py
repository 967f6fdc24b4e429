"""Settings of the load generator."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class KindSettings(NamedTuple):
    """One kind of call in the mix."""

    name: Annotated[str, Option("Name in the report.")]
    api_key: Annotated[str, Option("API key of the customer that sends it.")]
    share: Annotated[float, Option("Share of the calls, as a weight.", minimum=0)] = 1.0
    model: Annotated[str, Option("Requested model; empty for a plain service.")] = ""
    path: Annotated[str, Option("Path of a plain service's call.")] = ""
    min_prompt_tokens: Annotated[
        int, Option("Shortest prompt.", unit="tokens", minimum=1)
    ] = 1_000
    max_prompt_tokens: Annotated[
        int, Option("Longest prompt.", unit="tokens", minimum=1)
    ] = 1_000
    max_output_tokens: Annotated[
        int, Option("Length of the answer.", unit="tokens", minimum=1)
    ] = 32
    deadline_ms: Annotated[int, Option("Deadline of a call.", unit="ms", minimum=1)] = (
        30_000
    )


class LoadSettings(NamedTuple):
    """What the load generator sends, where to and for how long."""

    gateways: Annotated[tuple[str, ...], Option("Base URLs of the gateways.")]
    kinds: Annotated[tuple[KindSettings, ...], Option("The mix of calls.", minimum=1)]
    requests_per_second: Annotated[
        float, Option("Mean rate of calls.", unit="requests/s", minimum=0.01)
    ] = 10.0
    duration_ms: Annotated[
        int, Option("How long calls are sent.", unit="ms", minimum=100)
    ] = 10_000
    random_state: Annotated[int, Option("Seed of the random arrivals and choices.")] = 1
    services: Annotated[
        tuple[str, ...], Option("Stand-in replicas to ask for their executions.")
    ] = ()


__all__ = ("KindSettings", "LoadSettings")
