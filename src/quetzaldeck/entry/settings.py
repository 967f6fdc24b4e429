"""Settings of an entry VM on the users' platform."""

from __future__ import annotations

from typing import Annotated, NamedTuple

from quetzaldeck.config.option import Option
from quetzaldeck.decisions.policies import ENTRY_POLICIES, Policies

HOLD_SHARE = 0.85
"""Part of the time in which unused memory has to be free again."""

N_CAPACITY_DIGITS = 2
MIN_CAPACITY = 0.01
"""The least that a processor of a VM is taken for, in cores."""

_PORT_PATTERN = r"(6553[0-5]|655[0-2]\d|65[0-4]\d\d|6[0-4]\d{3}|[0-5]?\d{1,4})"
_ADDRESS_PATTERN = rf"[^\s:/]{{1,90}}:{_PORT_PATTERN}"


def _address(description: str, *, may_be_empty: bool = False) -> Option:
    if may_be_empty:
        pattern = rf"({_ADDRESS_PATTERN})?"
        return Option(description, pattern=pattern, form="IP:PORT or empty")
    return Option(description, pattern=_ADDRESS_PATTERN, form="IP:PORT")


class EntryListen(NamedTuple):
    """Where an entry VM listens, as ``IP:PORT``."""

    callers: Annotated[str, _address("For callers.")]
    readiness: Annotated[str, _address("For the balancer's question.")]
    metrics: Annotated[
        str, _address("For counters; empty: there are none.", may_be_empty=True)
    ] = ""


class EntryBounds(NamedTuple):
    """What operators promise to callers and upstreams."""

    key_revocation_ms: Annotated[
        float, Option("A key that was taken away opens nothing.", unit="ms", minimum=1)
    ] = 5_000.0
    leaving_ms: Annotated[
        float, Option("A leaving replica gets no new work.", unit="ms", minimum=1)
    ] = 2_000.0
    configuration_ms: Annotated[
        float, Option("A configuration is in force.", unit="ms", minimum=1)
    ] = 2_000.0
    grace_s: Annotated[
        float, Option("Time from SIGTERM to SIGKILL.", unit="s", minimum=0.1)
    ] = 8.0
    retry_ratio: Annotated[
        float, Option("Retries against requests, over all VMs.", minimum=0)
    ] = 0.2
    retry_window_s: Annotated[
        float, Option("Time over which both are counted.", unit="s", minimum=0.1)
    ] = 10.0
    free_ms: Annotated[
        float, Option("Memory that nobody uses is free again.", unit="ms", minimum=1)
    ] = 4_000.0

    @property
    def reservation_hold_ms(self) -> float:
        """:returns: for how long memory is set aside at a time

        If this VM dies, its memory is free again after this; the rest of the bound is
        for the order's way and for what an engine does before it looks.
        """
        return self.free_ms * HOLD_SHARE


class EntryProcessor(NamedTuple):
    """What a VM can do for others: those with more watch and relay for them."""

    share: Annotated[
        float, Option("Part of the time that the VM may run.", minimum=0.001)
    ] = 1.0
    speed: Annotated[
        float, Option("How many times as fast as one core it is then.", minimum=0.001)
    ] = 1.0

    @property
    def capacity(self) -> float:
        """:returns: the processor in cores

        Rounded as other VMs are told it: by a finer figure of its own a VM would take
        itself for faster than its equals, and each of them would watch and relay.
        """
        return max(MIN_CAPACITY, round(self.share * self.speed, N_CAPACITY_DIGITS))


class EntrySettings(NamedTuple):
    """One entry VM: its addresses, the platform's store, and the bounds."""

    vm: Annotated[str, Option("Id of this VM.", minimum=1)]
    availability_zone: Annotated[str, Option("Zone of this VM.")]
    listen: Annotated[EntryListen, Option("Addresses.")]
    store_address: Annotated[str, _address("The platform's store.")]
    seeds: Annotated[
        tuple[str, ...], _address("Peer addresses of some VMs, perhaps gone.")
    ] = ()
    peer_port: Annotated[
        int, Option("Where VMs tell each other; 0: they do not.", maximum=65_535)
    ] = 0
    processor: Annotated[EntryProcessor, Option("The VM's processor.")] = (
        EntryProcessor()
    )
    bounds: Annotated[EntryBounds, Option("Promises.")] = EntryBounds()
    policies: Annotated[
        Policies, Option("Which policies decide, all named; others are for comparison.")
    ] = ENTRY_POLICIES
    random_state: Annotated[int, Option("Seed of random choices; 0: any.")] = 0


__all__ = ("EntryBounds", "EntryListen", "EntryProcessor", "EntrySettings")
