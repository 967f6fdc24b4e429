"""Body of ``POST /standin/faults``: faults to inject into a stand-in."""

from __future__ import annotations

from typing import Annotated, Any, NamedTuple

from quetzaldeck.config.option import Option


class FaultRequest(NamedTuple):
    """One-time faults, and a new set of persistent faults.

    :param faults: persistent faults from now on; omitted keys get their defaults
    """

    crash: Annotated[bool, Option("Crash and restart.")] = False
    pause_ms: Annotated[
        int, Option("Send nothing for this time.", unit="ms", minimum=0)
    ] = 0
    silence_connections: Annotated[
        bool, Option("Silence the open connections for good.")
    ] = False
    break_connections: Annotated[bool, Option("Abort the open connections.")] = False
    faults: Annotated[Any, Option("Persistent faults; left out: unchanged.")] = None


__all__ = ("FaultRequest",)
