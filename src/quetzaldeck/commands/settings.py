"""Settings of commands to engines: intervals and timeouts."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class CommandSettings(NamedTuple):
    """When a commander may send orders, and how long it waits."""

    interval_ms: Annotated[
        int,
        Option(
            "Interval at which the state of the engines is checked.",
            unit="ms",
            minimum=20,
        ),
    ] = 1_000
    authority_ms: Annotated[
        int,
        Option("Age above which a decided command is not sent.", unit="ms", minimum=10),
    ] = 2_000
    send_timeout_ms: Annotated[
        int, Option("Timeout of a command.", unit="ms", minimum=10)
    ] = 2_000
    takeover_ms: Annotated[
        int,
        Option(
            "Time for which a new commander of an engine that ignores fencing "
            "tokens sends it nothing.",
            unit="ms",
        ),
    ] = 15_000
    status_ms: Annotated[
        int, Option("Age above which the report of an engine is ignored.", unit="ms")
    ] = 5_000
    load_timeout_ms: Annotated[
        int,
        Option(
            "Longest wait for a load to finish before it is ordered again.", unit="ms"
        ),
    ] = 900_000
    retry_ms: Annotated[
        int, Option("First backoff after a command without effect.", unit="ms")
    ] = 5_000
    max_retry_ms: Annotated[
        int, Option("Longest backoff after a command without effect.", unit="ms")
    ] = 600_000


__all__ = ("CommandSettings",)
