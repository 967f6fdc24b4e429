"""Messages to the dispatch task."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from quetzaldeck.bundle import Bundle
from quetzaldeck.decisions import AttemptEnd, Decision, LoadReport, Request
from quetzaldeck.decisions.explanations import Explanation
from quetzaldeck.decisions.fair_shares import ShareSum
from quetzaldeck.decisions.limits import UsageUpdate
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.decisions.placement import CacheEvents
from quetzaldeck.decisions.poison import CrashSighting, Liveness, RunSighting
from quetzaldeck.decisions.silence.verdict import SilenceVerdict
from quetzaldeck.outcomes import Failure


class Submit(NamedTuple):
    """Admit a request; decisions on it are put into ``decisions``."""

    request: Request
    reply: asyncio.Future[Failure | None]
    decisions: asyncio.Queue[Decision]


class Explain(NamedTuple):
    """Explain what would become of a request, without admitting it."""

    request: Request
    reply: asyncio.Future[Explanation]


class NoteFirstToken(NamedTuple):
    """An attempt delivered its first token."""

    attempt_id: str


class NoteLived(NamedTuple):
    """An engine has survived the beginning of an answer."""

    attempt_id: str


class NoteSent(NamedTuple):
    """An attempt was sent after it had waited for its turn at an upstream."""

    attempt_id: str


class NoteReserved(NamedTuple):
    """An attempt was granted the reservation that its dispatch needs."""

    attempt_id: str


class JudgeSilence(NamedTuple):
    """Ask whether to replace an attempt that has been silent for ``silent_ms``."""

    attempt_id: str
    silent_ms: float
    reply: asyncio.Future[SilenceVerdict]


class ResumeAttempt(NamedTuple):
    """A replaced attempt continues before the one that replaces it."""

    request_id: str
    attempt_id: str
    reply: asyncio.Future[bool]


class DropAttempt(NamedTuple):
    """An attempt is not sent after all."""

    attempt_id: str


class RetryKept(NamedTuple):
    """Ask for another attempt of a request that was kept, as a silent one runs."""

    request_id: str
    reply: asyncio.Future[Failure | None]


class NoteHandedOver(NamedTuple):
    """Another VM makes the attempts that are left to a request.

    :param is_over: whether none does any more, and none has run the request
    """

    request_id: str
    is_over: bool = False


class EndAttempt(NamedTuple):
    """An attempt ended."""

    end: AttemptEnd
    reply: asyncio.Future[Failure | None]


class Withdraw(NamedTuple):
    """Remove a request: its caller disconnected or has received its answer."""

    request_id: str


class ApplyBundle(NamedTuple):
    """Put a bundle in force."""

    bundle: Bundle


class Observe(NamedTuple):
    """Load reports and leaving upstreams, as reported by the agent."""

    loads: tuple[LoadReport, ...]
    leaving: tuple[str, ...]
    n_vms: int = 1


class ObserveEvacuations(NamedTuple):
    """The availability zones whose upstreams get no new work."""

    zones: frozenset[str]


class ObserveStatement(NamedTuple):
    """An upstream has said that it rests or leaves, which is recorded already."""

    upstream: str


class ObserveIncarnations(NamedTuple):
    """The incarnation that each upstream reports, by name."""

    incarnations: tuple[tuple[str, str], ...]


class ObserveLoad(NamedTuple):
    """Load that an upstream reported in a response."""

    report: LoadReport


class ObservePeerLoad(NamedTuple):
    """Load of another VM on some upstreams."""

    vm: str
    loads: tuple[tuple[str, VmLoad], ...]


class ObserveRateLimit(NamedTuple):
    """An upstream has a limit of requests a second; ``None``: it has none.

    :param is_cold: whether it is limited because it is cold
    """

    upstream: str
    requests_per_s: float | None
    is_cold: bool = False


class ObservePaces(NamedTuple):
    """Slowdown of some engines, as a multiple of their configured times."""

    paces: tuple[tuple[str, float], ...]


class ObserveUsage(NamedTuple):
    """Another VM's usage of a customer's limits."""

    vm: str
    update: UsageUpdate


class ObserveShares(NamedTuple):
    """Tokens that another VM dispatched for customers while requests waited there."""

    vm: str
    sums: tuple[ShareSum, ...]


class ObserveCache(NamedTuple):
    """Changes of an engine's prefix cache."""

    events: CacheEvents


class ObserveCrashes(NamedTuple):
    """Crash sightings of another VM for a request."""

    sightings: tuple[CrashSighting, ...]


class ObserveRuns(NamedTuple):
    """What another VM knows about runs whose end was not observed."""

    sightings: tuple[RunSighting, ...]


class ObserveCheck(NamedTuple):
    """Whether an upstream lives that may have ended.

    :param at_ms: monotonic time: when it was alive; or from when on connections broke
        as it crashed; or when the check began that it has not answered
    :param incarnation: the incarnation that was checked; ``""`` if not known
    """

    upstream: str
    liveness: Liveness
    at_ms: float
    incarnation: str = ""


class ObservePath(NamedTuple):
    """Whether this VM reaches the upstreams of a service."""

    service: str
    verdict: PathVerdict


Message = (
    Submit
    | Explain
    | NoteFirstToken
    | NoteLived
    | NoteReserved
    | NoteSent
    | JudgeSilence
    | ResumeAttempt
    | RetryKept
    | NoteHandedOver
    | DropAttempt
    | EndAttempt
    | Withdraw
    | ApplyBundle
    | Observe
    | ObserveLoad
    | ObservePaces
    | ObservePath
    | ObserveRateLimit
    | ObserveStatement
    | ObserveEvacuations
    | ObserveIncarnations
    | ObservePeerLoad
    | ObserveCache
    | ObserveCheck
    | ObserveRuns
    | ObserveCrashes
    | ObserveShares
    | ObserveUsage
)

__all__ = (
    "ApplyBundle",
    "DropAttempt",
    "EndAttempt",
    "Explain",
    "JudgeSilence",
    "Message",
    "NoteFirstToken",
    "NoteHandedOver",
    "NoteLived",
    "NoteReserved",
    "NoteSent",
    "Observe",
    "ObserveCache",
    "ObserveCheck",
    "ObserveCrashes",
    "ObserveEvacuations",
    "ObserveIncarnations",
    "ObserveLoad",
    "ObservePaces",
    "ObservePath",
    "ObservePeerLoad",
    "ObserveRateLimit",
    "ObserveRuns",
    "ObserveShares",
    "ObserveStatement",
    "ObserveUsage",
    "ResumeAttempt",
    "RetryKept",
    "Submit",
    "Withdraw",
)
