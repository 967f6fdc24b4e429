"""Messages to the dispatch task."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from quetzaldeck.bundle import Bundle
from quetzaldeck.decisions import AttemptEnd, Decision, LoadReport, Request
from quetzaldeck.decisions.limits import UsageUpdate
from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.decisions.placement import CacheEvents
from quetzaldeck.decisions.poison import CrashSighting
from quetzaldeck.decisions.retries.silence import SilenceVerdict
from quetzaldeck.outcomes import Failure


class Submit(NamedTuple):
    """Admit a request; decisions about it go to ``decisions``."""

    request: Request
    reply: asyncio.Future[Failure | None]
    decisions: asyncio.Queue[Decision]


class NoteFirstToken(NamedTuple):
    """An attempt delivered its first token."""

    attempt_id: str


class NoteReserved(NamedTuple):
    """An attempt has the reservation that its dispatch asked for."""

    attempt_id: str


class JudgeSilence(NamedTuple):
    """An attempt has said nothing for a while: is it to be left for another one?"""

    attempt_id: str
    silent_ms: float
    reply: asyncio.Future[SilenceVerdict]


class EndAttempt(NamedTuple):
    """An attempt ended."""

    end: AttemptEnd
    reply: asyncio.Future[Failure | None]


class Withdraw(NamedTuple):
    """Forget a request: its caller is gone or has its answer."""

    request_id: str


class ApplyBundle(NamedTuple):
    """Put a bundle in force."""

    bundle: Bundle


class Observe(NamedTuple):
    """Load reports and leaving upstreams from the agent."""

    loads: tuple[LoadReport, ...]
    leaving: tuple[str, ...]
    n_vms: int = 1


class ObserveIncarnations(NamedTuple):
    """By name, which of its starts each upstream says that this is."""

    incarnations: tuple[tuple[str, str], ...]


class ObserveLoad(NamedTuple):
    """Load that an upstream told with an answer."""

    report: LoadReport


class ObservePeerLoad(NamedTuple):
    """What of another VM is at some upstreams."""

    vm: str
    shares: tuple[tuple[str, VmLoad], ...]


class ObservePaces(NamedTuple):
    """How many times longer than stated the work of some engines takes."""

    paces: tuple[tuple[str, float], ...]


class ObserveUsage(NamedTuple):
    """Another VM's usage of a customer's limits."""

    vm: str
    news: UsageUpdate


class ObserveCache(NamedTuple):
    """Changes of an engine's prefix cache."""

    events: CacheEvents


class ObserveCrashes(NamedTuple):
    """What another VM saw of a request and engine crashes."""

    sightings: tuple[CrashSighting, ...]


Message = (
    Submit
    | NoteFirstToken
    | NoteReserved
    | JudgeSilence
    | EndAttempt
    | Withdraw
    | ApplyBundle
    | Observe
    | ObserveLoad
    | ObservePaces
    | ObserveIncarnations
    | ObservePeerLoad
    | ObserveCache
    | ObserveCrashes
    | ObserveUsage
)

__all__ = (
    "ApplyBundle",
    "EndAttempt",
    "JudgeSilence",
    "Message",
    "NoteFirstToken",
    "NoteReserved",
    "Observe",
    "ObserveCache",
    "ObserveCrashes",
    "ObserveIncarnations",
    "ObserveLoad",
    "ObservePaces",
    "ObservePeerLoad",
    "ObserveUsage",
    "Submit",
    "Withdraw",
)
