"""Settings of membership: intervals, timeouts and limits."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option


class MembershipSettings(NamedTuple):
    """When VMs are probed, suspected, confirmed dead and forgotten."""

    probe_interval_ms: Annotated[
        int,
        Option(
            "Time between two probes; each goes to one peer.", unit="ms", minimum=20
        ),
    ] = 1_000
    probe_timeout_ms: Annotated[
        int, Option("Timeout of a probe.", unit="ms", minimum=10)
    ] = 500
    n_relays: Annotated[
        int, Option("Peers asked to probe a VM that did not answer.", minimum=0)
    ] = 2
    confirm_ms: Annotated[
        int, Option("A VM suspected for this long is dead.", unit="ms", minimum=100)
    ] = 10_000
    confirm_listed_ms: Annotated[
        int, Option("The same, while the VM list names the VM.", unit="ms", minimum=100)
    ] = 60_000
    forget_ms: Annotated[
        int, Option("A VM dead for this long is forgotten.", unit="ms", minimum=100)
    ] = 600_000
    max_updates: Annotated[
        int, Option("Maximum of member updates in one message.", minimum=1, maximum=64)
    ] = 8


__all__ = ("MembershipSettings",)
