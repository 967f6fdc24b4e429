"""Settings of the claim protocol."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class ClaimSettings(NamedTuple):
    """Limits of the claim protocol; they must be equal on all VMs of a fleet.

    ``window_ms`` is the longest deadline of a non-repeatable call plus the time during
    which its caller may resend it.
    """

    n_groups: Annotated[
        int,
        Option("Groups that keys are hashed into; each has its own voters.", minimum=1),
    ] = 1
    max_voters: Annotated[
        int, Option("Voters per group; all VMs vote if there are fewer.", minimum=1)
    ] = 9
    window_ms: Annotated[
        int, Option("Time for which voters keep a claim.", unit="ms", minimum=1_000)
    ] = 900_000
    max_deadline_ms: Annotated[
        int, Option("Longest deadline of a claimed call.", unit="ms", minimum=100)
    ] = 120_000
    max_clock_skew_ms: Annotated[
        int, Option("Largest wall clock error of callers and VMs.", unit="ms")
    ] = 2_000
    max_claims: Annotated[
        int, Option("Claims stored by one voter; further ones are refused.", minimum=1)
    ] = 50_000
    max_answer_bytes: Annotated[
        int, Option("Longest answer stored for resends.", unit="bytes", minimum=0)
    ] = 65_536
    max_held_bytes: Annotated[
        int,
        Option(
            "Total size of the answers stored for resends.", unit="bytes", minimum=0
        ),
    ] = 8 << 20
    sync_interval_ms: Annotated[
        int, Option("Time between two sync rounds among voters.", unit="ms", minimum=20)
    ] = 500
    vote_timeout_ms: Annotated[
        int, Option("Timeout for the votes of one round.", unit="ms", minimum=10)
    ] = 400
    max_pause_ms: Annotated[
        int,
        Option("Pause after which a decision is made again.", unit="ms", minimum=10),
    ] = 1_000


__all__ = ("ClaimSettings",)
