"""Events of a history, as observed by callers, upstreams and VMs.

The names of the event classes are written to history files.
"""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class CallOutcome(StrEnum):
    """Outcome of a call as its caller observed it."""

    ANSWERED = "answered"
    FAILED = "failed"
    BROKEN = "broken"


class CallSent(NamedTuple):
    """A caller sent a call to a VM.

    :param at_ms: time on the recorder's clock, as in every event
    :param key: idempotency key; ``""`` if the call has none
    :param digest: digest of the request body
    :param is_repeatable: whether the call may be executed more than once
    :param deadline_ms: time by which the call must have ended
    """

    at_ms: float
    call_id: str
    vm: str
    customer: str
    key: str
    digest: str
    is_repeatable: bool
    deadline_ms: float


class CallEnded(NamedTuple):
    """A call ended from the point of view of its caller.

    :param request_id: id that the VM assigned to the call; ``""`` if the caller
        received none
    :param ran: whether the call ran, according to the error response
    :param answer: digest of the answer received
    :param expected: digest of the correct answer to the call
    :param ttft_ms: time to first token; ``None`` if no token arrived
    """

    at_ms: float
    call_id: str
    outcome: CallOutcome
    request_id: str = ""
    reason: str = ""
    ran: str = ""
    answer: str = ""
    expected: str = ""
    ttft_ms: float | None = None


CALLER_TIMEOUT = "caller_timeout"
"""Reason recorded by a caller that timed out waiting for the VM."""

UNREACHABLE = "unreachable"
"""Reason recorded by a caller when no process was listening on the VM."""


class Executed(NamedTuple):
    """A plain service executed a call."""

    at_ms: float
    upstream: str
    key: str
    digest: str
    request_id: str


class SequenceStarted(NamedTuple):
    """An engine accepted a sequence."""

    at_ms: float
    upstream: str
    attempt_id: str
    vm: str
    incarnation: str


class SequenceEnded(NamedTuple):
    """An engine finished or cancelled a sequence and released its memory."""

    at_ms: float
    upstream: str
    attempt_id: str


class MemoryHeld(NamedTuple):
    """Memory that an engine still holds after all calls had time to end."""

    at_ms: float
    upstream: str
    n_kv_tokens: int


class BundlePublished(NamedTuple):
    """Operators published a bundle."""

    at_ms: float
    version: int


class BundleSeen(NamedTuple):
    """A VM reported the version of the bundle in force; 0: the VM is not ready."""

    at_ms: float
    vm: str
    version: int


class VmStopping(NamedTuple):
    """Operators requested the graceful shutdown of a VM."""

    at_ms: float
    vm: str


class VmKilled(NamedTuple):
    """A VM was killed without a graceful shutdown."""

    at_ms: float
    vm: str


class VmPaused(NamedTuple):
    """The processes of a VM stopped being scheduled."""

    at_ms: float
    vm: str


class VmResumed(NamedTuple):
    """The processes of a paused VM are scheduled again."""

    at_ms: float
    vm: str


class UpstreamLeaving(NamedTuple):
    """The platform announced that an upstream is leaving."""

    at_ms: float
    upstream: str


class FaultInjected(NamedTuple):
    """A fault began or ended; recorded for human readers, no check uses it."""

    at_ms: float
    fault: str
    target: str
    is_over: bool


Event = (
    CallSent
    | CallEnded
    | Executed
    | SequenceStarted
    | SequenceEnded
    | MemoryHeld
    | BundlePublished
    | BundleSeen
    | VmStopping
    | VmKilled
    | VmPaused
    | VmResumed
    | UpstreamLeaving
    | FaultInjected
)

EVENT_CLASSES: tuple[type[Event], ...] = (
    CallSent,
    CallEnded,
    Executed,
    SequenceStarted,
    SequenceEnded,
    MemoryHeld,
    BundlePublished,
    BundleSeen,
    VmStopping,
    VmKilled,
    VmPaused,
    VmResumed,
    UpstreamLeaving,
    FaultInjected,
)

__all__ = (
    "CALLER_TIMEOUT",
    "EVENT_CLASSES",
    "UNREACHABLE",
    "BundlePublished",
    "BundleSeen",
    "CallEnded",
    "CallOutcome",
    "CallSent",
    "Event",
    "Executed",
    "FaultInjected",
    "MemoryHeld",
    "SequenceEnded",
    "SequenceStarted",
    "UpstreamLeaving",
    "VmKilled",
    "VmPaused",
    "VmResumed",
    "VmStopping",
)
