"""Datagrams that entry VMs exchange, encoded as JSON."""

from __future__ import annotations

from typing import TYPE_CHECKING, Literal

import msgspec

from quetzaldeck.decisions.fair_shares import ShareSum
from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.decisions.poison import CrashSighting, RunSighting, RunState
from quetzaldeck.decisions.rate_limits import Permit, RateLimitStatement
from quetzaldeck.json_decoder import JsonDecoder

if TYPE_CHECKING:
    from quetzaldeck.decisions.cold_replicas import ColdClaim


class LoadUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Load of a VM at one upstream; see :class:`VmLoad` for the fields."""

    upstream: str
    n_requests: int
    n_prefill_tokens: int
    n_kv_tokens: int
    n_parts: int = 0
    n_answered: float = 0.0
    n_failed: float = 0.0
    incarnation: str = ""
    refuses_help: bool = False

    @property
    def says_anything(self) -> bool:
        """:returns: whether any field carries information for another VM"""
        return bool(
            self.n_requests
            or self.n_prefill_tokens
            or self.n_kv_tokens
            or self.n_parts
            or self.n_answered
            or self.n_failed
            or self.refuses_help
        )


class CrashUpdate(msgspec.Struct, frozen=True, array_like=True):
    """The crash of an engine while it ran a request, or the clearing of a request.

    A request is cleared when an engine has answered it. See ``CrashSighting`` for the
    fields.
    """

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float
    run_ms: float | None = None
    was_answered: bool = False


class RunUpdate(msgspec.Struct, frozen=True, array_like=True):
    """A request that an upstream runs, or may have run when it ended.

    See ``RunSighting`` for the fields.
    """

    fingerprint: int
    upstream: str
    incarnation: str
    age_ms: float
    remaining_ms: float
    state: RunState
    was_answered: bool = False
    is_awaited: bool = False


class ColdTime(msgspec.Struct, frozen=True):
    """A limit that is not named by its rate: the upstream is cold.

    :param cold_ms: time for which it stays cold
    """

    cold_ms: float


class LimitUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What an upstream said of its rate limit; see ``RateLimitStatement``.

    :param requests_per_s: the limit; ``None``: it has ended; a :class:`ColdTime` does
        not replace a limit that the upstream has named
    :param age_ms: time since a VM received the response that said so
    """

    upstream: str
    incarnation: str
    requests_per_s: float | ColdTime | None
    age_ms: float


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks for a permit to send a request to an upstream that limits its rate.

    :param number: the answer repeats it
    :param limit: the limit that the sender knows; if it knows that the upstream is
        cold, the time for which it is
    :param max_wait_ms: how long the request can wait for its turn
    """

    number: int
    limit: LimitUpdate
    max_wait_ms: float


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers a :class:`PermitRequest`; see ``Permit`` for the fields.

    :param is_issuer: whether the sender issues permits for the upstream
    """

    number: int
    is_issuer: bool
    is_granted: bool = False
    wait_ms: float = 0.0


class ShareUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Tokens that a VM dispatched for a customer, in all; see ``ShareSum``."""

    target: str
    customer: str
    n_tokens: int


class VmUpdate(msgspec.Struct, frozen=True, array_like=True):
    """What one VM announces to all others; may be relayed by other VMs.

    :param vm: id of this incarnation of the VM: it changes when the VM restarts
    :param sequence: increases with each update of the VM; the highest is the latest
    :param paces: slowdown factors by engine name, for engines that are slow now or were
        slow in the VM's previous update
    :param limits: what upstreams said of their rate limits
    :param runs: requests that run, or may have run when their upstreams ended
    :param shares: tokens dispatched for customers; left out of the datagram if empty
    """

    vm: str
    sequence: int
    loads: tuple[LoadUpdate, ...] = ()
    crashes: tuple[CrashUpdate, ...] = ()
    paces: dict[str, float] = {}
    limits: tuple[LimitUpdate, ...] = ()
    runs: tuple[RunUpdate, ...] = ()
    shares: tuple[ShareUpdate, ...] = ()

    @property
    def says_anything(self) -> bool:
        """:returns: whether the update is not empty"""
        return bool(self.loads or self.shares or self.has_events)

    @property
    def has_events(self) -> bool:
        """:returns: whether it contains anything other than loads and shares"""
        return bool(self.crashes or self.paces or self.limits or self.runs)


class _BareVmUpdate(msgspec.Struct, frozen=True, array_like=True):
    """An update without shares, as it is encoded.

    ``omit_defaults`` does not apply to structs that are encoded as arrays.
    """

    vm: str
    sequence: int
    loads: tuple[LoadUpdate, ...]
    crashes: tuple[CrashUpdate, ...]
    paces: dict[str, float]
    limits: tuple[LimitUpdate, ...]
    runs: tuple[RunUpdate, ...]


Reach = Literal["", "fleet", "members"]
"""Where the receiver forwards the updates: nowhere, to all VMs, or to its members."""

Join = Literal["", "member", "relay", "leave"]
"""Whether the sender subscribes to updates, and in which role; see ``Subscribers``."""


class PeerMessage(msgspec.Struct, frozen=True, omit_defaults=True):
    """One datagram.

    :param vm: id of the sender's incarnation
    :param availability_zone: the sender's; only in greetings, otherwise ``""``
    :param capacity: the sender's processor, in cores; only in greetings, otherwise 0
    :param known: VMs that the sender has received a message from recently: their
        processors in cores, 0 if unknown, by availability zone and address
    :param news: updates of the sender, or of other VMs that it forwards
    :param number: the receiver acknowledges this number; 0: no acknowledgement needed
    :param confirmed: number of a received message that the sender acknowledges; 0: none
    :param limits: rate limits of upstreams that the sender knows; in greetings, and
        with permits
    :param crashes: requests that were in crashes, or were cleared, as the sender knows;
        in greetings
    :param runs: requests that run, or may have run when their upstreams ended; in
        greetings
    :param permit_request: asks the receiver for a permit
    :param permit_answer: answers a permit request of the receiver
    """

    vm: str
    availability_zone: str = ""
    capacity: float = 0.0
    known: dict[str, dict[str, float]] = {}
    news: tuple[VmUpdate, ...] = ()
    reach: Reach = ""
    join: Join = ""
    number: int = 0
    confirmed: int = 0
    limits: tuple[LimitUpdate, ...] = ()
    crashes: tuple[CrashUpdate, ...] = ()
    runs: tuple[RunUpdate, ...] = ()
    permit_request: PermitRequest | None = None
    permit_answer: PermitAnswer | None = None


N_OUTCOME_DIGITS = 2
"""Decimal places of the decaying outcome counts; more would only add bytes."""

N_AGE_DIGITS = 1
"""Decimal places of ages in milliseconds."""

_DECODER = JsonDecoder(PeerMessage)


def encode_message(message: PeerMessage) -> bytes:
    """:returns: the datagram for ``message``"""
    if message.news:
        news = tuple(_without_empty_shares(update) for update in message.news)
        message = msgspec.structs.replace(message, news=news)
    return msgspec.json.encode(message)


def _without_empty_shares(update: VmUpdate) -> VmUpdate | _BareVmUpdate:
    if update.shares:
        return update
    return _BareVmUpdate(
        update.vm,
        update.sequence,
        update.loads,
        update.crashes,
        update.paces,
        update.limits,
        update.runs,
    )


def decode_message(data: bytes) -> PeerMessage:
    """:returns: the message in a datagram

    :raises msgspec.DecodeError: if the datagram is not a valid message
    """
    return _DECODER.decode(data)


def build_load_update(upstream: str, load: VmLoad) -> LoadUpdate:
    """:returns: the update that announces this VM's load at one upstream"""
    return LoadUpdate(
        upstream,
        load.n_requests,
        load.n_prefill_tokens,
        load.n_kv_tokens,
        load.n_parts,
        round(load.outcomes.n_answered, N_OUTCOME_DIGITS),
        round(load.outcomes.n_failed, N_OUTCOME_DIGITS),
        load.incarnation,
        load.refuses_help,
    )


def read_load_update(update: LoadUpdate) -> VmLoad:
    """:returns: the load of another VM at one upstream"""
    return VmLoad(
        update.n_requests,
        update.n_prefill_tokens,
        update.n_kv_tokens,
        update.n_parts,
        Outcomes(update.n_answered, update.n_failed),
        update.incarnation,
        update.refuses_help,
    )


def build_share_update(share: ShareSum) -> ShareUpdate:
    """:returns: the update that announces tokens dispatched for a customer"""
    return ShareUpdate(*share)


def read_share_update(update: ShareUpdate) -> ShareSum:
    """:returns: tokens that another VM dispatched for a customer"""
    return ShareSum(update.target, update.customer, max(0, update.n_tokens))


def build_crash_update(sighting: CrashSighting) -> CrashUpdate:
    """:returns: the update that announces a crash, or the clearing of a request"""
    run_ms = sighting.run_ms
    return CrashUpdate(
        sighting.fingerprint,
        sighting.upstream,
        sighting.incarnation,
        round(sighting.age_ms, N_AGE_DIGITS),
        None if run_ms is None else round(run_ms, N_AGE_DIGITS),
        sighting.was_answered,
    )


def build_run_update(sighting: RunSighting) -> RunUpdate:
    """:returns: the update that announces a run"""
    return RunUpdate(
        sighting.fingerprint,
        sighting.upstream,
        sighting.incarnation,
        round(sighting.age_ms, N_AGE_DIGITS),
        round(sighting.remaining_ms, N_AGE_DIGITS),
        sighting.state,
        sighting.was_answered,
        sighting.is_awaited,
    )


def read_run_update(update: RunUpdate) -> RunSighting:
    """:returns: what another VM knows of a run"""
    return RunSighting(
        update.fingerprint,
        update.upstream,
        update.incarnation,
        update.age_ms,
        update.remaining_ms,
        update.state,
        update.was_answered,
        update.is_awaited,
    )


def read_crash_update(update: CrashUpdate) -> CrashSighting:
    """:returns: what another VM saw"""
    return CrashSighting(
        update.fingerprint,
        update.upstream,
        update.incarnation,
        max(0.0, update.age_ms),
        update.run_ms,
        update.was_answered,
    )


def build_limit_update(statement: RateLimitStatement, now_ms: float) -> LimitUpdate:
    """:returns: the update that announces what an upstream said

    :param now_ms: uptime of this VM
    """
    age_ms = round(now_ms - statement.heard_ms, N_AGE_DIGITS)
    return LimitUpdate(
        statement.upstream, statement.incarnation, statement.requests_per_s, age_ms
    )


def build_cold_update(claim: ColdClaim, now_ms: float) -> LimitUpdate:
    """:returns: the update that announces that an upstream is cold

    :param now_ms: uptime of this VM
    """
    cold = ColdTime(round(max(0.0, claim.until_ms - now_ms), N_AGE_DIGITS))
    return LimitUpdate(claim.upstream, claim.incarnation, cold, 0.0)


def read_limit_update(update: LimitUpdate, now_ms: float) -> RateLimitStatement:
    """:returns: what an upstream said to another VM

    :param now_ms: uptime of this VM
    :raises TypeError: if it does not name a rate but a :class:`ColdTime`
    """
    if isinstance(update.requests_per_s, ColdTime):
        msg = f"{update.upstream}: a cold time is no statement of the upstream"
        raise TypeError(msg)
    heard_ms = now_ms - max(0.0, update.age_ms)
    return RateLimitStatement(
        update.upstream, update.incarnation, update.requests_per_s, heard_ms
    )


def build_permit_answer(number: int, permit: Permit | None) -> PermitAnswer:
    """:returns: the answer to a permit request

    :param permit: ``None`` if this VM issues no permits for the upstream
    """
    if permit is None:
        return PermitAnswer(number, is_issuer=False)
    wait_ms = round(permit.wait_ms, N_AGE_DIGITS)
    return PermitAnswer(number, True, permit.is_granted, wait_ms)  # noqa: FBT003


__all__ = (
    "ColdTime",
    "CrashUpdate",
    "Join",
    "LimitUpdate",
    "LoadUpdate",
    "PeerMessage",
    "PermitAnswer",
    "PermitRequest",
    "Reach",
    "RunUpdate",
    "ShareUpdate",
    "VmUpdate",
    "build_cold_update",
    "build_crash_update",
    "build_limit_update",
    "build_load_update",
    "build_permit_answer",
    "build_run_update",
    "build_share_update",
    "decode_message",
    "encode_message",
    "read_crash_update",
    "read_limit_update",
    "read_load_update",
    "read_run_update",
    "read_share_update",
)
