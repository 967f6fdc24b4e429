"""Records of calls, executions and faults, with times of one monotonic clock."""

from __future__ import annotations

import asyncio
import time
from collections import defaultdict
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

from tests.support.platform.crash_check import N_PART_CRASHES, CrashRecord
from tests.support.platform.rate_limit_check import ReplicaRecord

if TYPE_CHECKING:
    from tests.soak.entry.endless import Flood

LOOP_CHECK_INTERVAL_MS = 50.0

NOT_RUN_STATUSES = (408, 421, 429, 503)
"""Statuses after which callers send a request again that must run only once."""

VM_FAULTS = ("kill_vm", "kill_all", "stop_vm", "freeze_vm")
"""Faults that restart or freeze VMs."""


class RequestKind(StrEnum):
    """Kinds of request: a stream, a call that must not run twice, and a look-up."""

    PLAN = "plan"
    BOOK = "book"
    LOOK_UP = "look"


class Execution(NamedTuple):
    """A replica started to run a request.

    :param resumed_after: id of the event after which a stream resumes; ``""``: begin
    """

    call_id: str
    replica: str
    at_ms: float
    key_owner: str
    resumed_after: str = ""


class Culprit(NamedTuple):
    """A request that crashes each replica that runs it, as the replica sees it."""

    path: str
    body: bytes
    owner: str


class CallRecord(NamedTuple):
    """One request as its caller saw it; status 0: no response.

    :param is_in_rotation: whether a load balancer would have sent it to its VM
    """

    call_id: str
    kind: RequestKind
    vm: str
    key: str
    sent_ms: float
    ended_ms: float
    deadline_ms: float
    status: int
    body: bytes
    is_complete: bool
    is_in_rotation: bool


class LoopStall(NamedTuple):
    """The loop of callers and replicas itself ran late, by ``late_ms``."""

    at_ms: float
    late_ms: float


class FaultInterval(NamedTuple):
    """When a fault was active, and on which VM; an empty target means all VMs."""

    name: str
    target: str
    begin_ms: float
    end_ms: float


class Partition(NamedTuple):
    """VMs that reached no replica for a while, and how that showed."""

    vms: frozenset[str]
    mode: str
    begin_ms: float
    end_ms: float


class Evacuation(NamedTuple):
    """A zone with some of the replicas was evacuated for a while."""

    replicas: frozenset[str]
    begin_ms: float
    end_ms: float


class Rest(NamedTuple):
    """A replica turned a request of a VM away and asked for rest."""

    vm: str
    at_ms: float
    rest_ms: float


class RouteGap(NamedTuple):
    """The configuration had no route for some kinds of request for a while."""

    kinds: frozenset[RequestKind]
    begin_ms: float
    end_ms: float


class Skew(NamedTuple):
    """Most new connections went to one VM for a while.

    :param answered: by first attempt that a VM has read, when it was sent and whether
        it was answered
    """

    key: str
    begin_ms: float
    end_ms: float
    answered: tuple[tuple[float, bool], ...]


class CrowdRecord(NamedTuple):
    """Clients that keep no limit were at one VM for a while.

    :param habit: what they did
    :param peak_mb: greatest memory of the VM meanwhile
    :param memory_mb: memory that it may take
    """

    habit: str
    vm: str
    peak_mb: float
    memory_mb: float


class History:
    """Everything that the checks read.

    ``bookings`` has the ids of all bookings sent, also of callers who left,
    ``revoked_ms`` has the time of revocation by API key, ``leaving_ms`` the time at
    which a replica was marked as leaving, by replica, ``injections`` when each fault
    acted, excused or not, ``work_ends`` when replicas ended their work on each call,
    ``silences`` when replicas sent nothing, ``rate_limits`` what each replica
    received and named, ``rests`` what rest each replica asked for, ``told_leaving``
    when it first told each VM that it leaves, ``crashes`` what replicas got of requests
    that crash them, and ``part_crashes`` what they got of prompts with parts that do.
    """

    def __init__(self) -> None:
        self.executions: list[Execution] = []
        self.bookings: set[str] = set()
        self.calls: list[CallRecord] = []
        self.fault_intervals: list[FaultInterval] = []
        self.injections: list[FaultInterval] = []
        self.silences: list[FaultInterval] = []
        self.work_ends: defaultdict[str, list[tuple[str, float]]] = defaultdict(list)
        self.partitions: list[Partition] = []
        self.route_gaps: list[RouteGap] = []
        self.evacuations: list[Evacuation] = []
        self.stop_failures: list[str] = []
        self.false_refusals: list[str] = []
        self.loop_stalls: list[LoopStall] = []
        self.revoked_ms: dict[str, float] = {}
        self.leaving_ms: dict[str, float] = {}
        self.rests: defaultdict[str, list[Rest]] = defaultdict(list)
        self.told_leaving: defaultdict[str, dict[str, float]] = defaultdict(dict)
        self.crashes = CrashRecord()
        self.part_crashes = CrashRecord(N_PART_CRASHES)
        self.skews: list[Skew] = []
        self.floods: list[Flood] = []
        self.crowds: list[CrowdRecord] = []
        self.rate_limits: defaultdict[str, ReplicaRecord] = defaultdict(ReplicaRecord)

    def max_loop_stall_ms(self, begin_ms: float, end_ms: float) -> float:
        """:returns: how late the loop of callers and replicas was in a time span"""
        return max(
            (s.late_ms for s in self.loop_stalls if begin_ms <= s.at_ms <= end_ms),
            default=0.0,
        )

    def is_disturbed(self, vm: str, begin_ms: float, end_ms: float) -> bool:
        """:returns: whether a VM restarted or froze in a time span

        :param vm: its name; ``""``: any VM
        """
        return any(
            item.name in VM_FAULTS
            and (not vm or item.target in (vm, ""))
            and item.begin_ms < end_ms
            and item.end_ms > begin_ms
            for item in self.fault_intervals
        )

    def is_cut_off(self, vm: str, begin_ms: float, end_ms: float) -> bool:
        """:returns: whether a VM reached no replica at some time of a time span"""
        return any(
            vm in partition.vms
            and partition.begin_ms < end_ms
            and partition.end_ms > begin_ms
            for partition in self.partitions
        )

    def is_affected(self, target: str, begin_ms: float, end_ms: float) -> bool:
        """:returns: whether a fault affected a VM, or all VMs, in a time span"""
        return any(
            item.target in (target, "")
            and item.begin_ms < end_ms
            and item.end_ms > begin_ms
            for item in self.fault_intervals
        )


async def record_loop_stalls(history: History) -> None:
    """Record how late the running loop is, until cancelled."""
    while True:
        due_ms = now_ms() + LOOP_CHECK_INTERVAL_MS
        await asyncio.sleep(LOOP_CHECK_INTERVAL_MS / 1_000)
        history.loop_stalls.append(LoopStall(now_ms(), now_ms() - due_ms))


def now_ms() -> float:
    """:returns: milliseconds of the monotonic clock"""
    return time.monotonic() * 1_000


__all__ = (
    "NOT_RUN_STATUSES",
    "CallRecord",
    "CrowdRecord",
    "Culprit",
    "Evacuation",
    "Execution",
    "FaultInterval",
    "History",
    "Partition",
    "RequestKind",
    "Rest",
    "RouteGap",
    "Skew",
    "now_ms",
    "record_loop_stalls",
)
