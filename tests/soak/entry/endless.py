"""Replicas that send bytes without end, and what that may cost the VMs."""

from __future__ import annotations

import asyncio
import os
from enum import StrEnum
from pathlib import Path
from statistics import quantiles
from typing import TYPE_CHECKING, NamedTuple

from tests.soak.entry.history import RequestKind
from tests.support.platform.replica import SEAL, build_head

if TYPE_CHECKING:
    from collections.abc import Iterator, Sequence

    from tests.soak.entry.history import CallRecord, History
    from tests.soak.entry.world import SoakVm
    from tests.support.platform.replica import Arrival, Connection

PART_BYTES = 65_536
PART_INTERVAL_S = 0.005
SAMPLE_INTERVAL_S = 0.1
PAGE_KB = os.sysconf("SC_PAGE_SIZE") // 1_024
MIN_SERVED_SHARE = 0.98
"""Least share of the calls that reach sound replicas only."""

MAX_SLOWDOWN_MS = 300.0
"""Greatest rise of the 95th percentile of their answer times."""

MAX_MEMORY_RATIO = 1.3
MAX_RETRIED_MS = 2_000.0
"""Time in which another replica answers a call that may be retried."""


class Endless(StrEnum):
    """What a replica sends without end in place of an answer."""

    INTERIM = "interim responses"
    COMMENTS = "comments"
    EVENT = "an event that never ends"
    BODY = "a body without a length"
    FIELDS = "header fields"
    NOISE = "noise"


_STREAM = ("Content-Type: text/event-stream", "Transfer-Encoding: chunked", SEAL)
_HEADS = {
    Endless.INTERIM: (),
    Endless.COMMENTS: _STREAM,
    Endless.EVENT: _STREAM,
    Endless.BODY: ("Connection: close", SEAL),
    Endless.FIELDS: (),
    Endless.NOISE: (),
}
_UNITS = {
    Endless.INTERIM: b"HTTP/1.1 100 Continue\r\n\r\n",
    Endless.COMMENTS: b":\n\n",
    Endless.EVENT: b"data: word\n",
    Endless.BODY: b"word",
    Endless.FIELDS: b"X-Field: word\r\n",
    Endless.NOISE: bytes(range(128, 256)),
}


class Flood(NamedTuple):
    """Replicas sent bytes without end for a while.

    :param before_kb: resident memory of each VM as it began, by VM
    :param peak_kb: its greatest value until the flood ended, by VM
    """

    kind: Endless
    replicas: frozenset[str]
    begin_ms: float
    end_ms: float
    before_kb: dict[str, int]
    peak_kb: dict[str, int]


async def pour(kind: Endless, arrival: Arrival, connection: Connection) -> None:
    """Send bytes without end until the other end closes the connection."""
    if _HEADS[kind]:
        await connection.send(build_head(arrival, 200, *_HEADS[kind]))
    elif kind is Endless.FIELDS:
        await connection.send(b"HTTP/1.1 200 Status\r\n")
    unit = _UNITS[kind]
    part = unit * (PART_BYTES // len(unit))
    send = connection.send_chunk if _HEADS[kind] is _STREAM else connection.send
    while not connection.is_left:
        await send(part)
        await asyncio.sleep(PART_INTERVAL_S)


def read_memory_kb(vm: SoakVm) -> int:
    """:returns: resident memory of the process of a VM; 0 if it has ended"""
    try:
        sizes = Path(f"/proc/{vm.process_id}/statm").read_text(encoding="ascii")
    except OSError:
        return 0
    return int(sizes.split()[1]) * PAGE_KB


async def sample_memory(vms: Sequence[SoakVm], peak_kb: dict[str, int]) -> None:
    """Record the peak of the memory of VMs, until cancelled."""
    while True:
        for vm in vms:
            peak_kb[vm.name] = max(peak_kb.get(vm.name, 0), read_memory_kb(vm))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def check_flood(flood: Flood, history: History) -> Iterator[str]:
    """:returns: whom bytes without end cost more than they may"""
    reached: dict[str, set[str]] = {}
    for execution in history.executions:
        reached.setdefault(execution.call_id, set()).add(execution.replica)
    before, beside, retried = [], [], []
    for call in history.calls:
        is_within = flood.begin_ms <= call.sent_ms < flood.end_ms
        if call.ended_ms < flood.begin_ms:
            before.append(call)
        elif is_within and not reached.get(call.call_id, set()) & flood.replicas:
            beside.append(call)
        elif is_within and call.kind is not RequestKind.BOOK:
            retried.append(call)
    yield from _check_neighbours(flood, before, beside)
    late = [c for c in retried if not _is_served(c) or _took_ms(c) > MAX_RETRIED_MS]
    if late:
        yield (
            f"{flood.kind}: {len(late)} of {len(retried)} calls that may be retried "
            f"were not answered by others in time, the first {late[0].call_id}"
        )
    for vm, before_kb in flood.before_kb.items():
        if flood.peak_kb[vm] > MAX_MEMORY_RATIO * before_kb:
            yield f"{flood.kind}: {vm} had {before_kb} kB, then {flood.peak_kb[vm]} kB"


def _check_neighbours(
    flood: Flood, before: list[CallRecord], beside: list[CallRecord]
) -> Iterator[str]:
    served = [call for call in beside if _is_served(call)]
    if len(served) < MIN_SERVED_SHARE * len(beside):
        yield f"{flood.kind}: {len(served)} of {len(beside)} neighbours were served"
    for kind in RequestKind:
        usual_ms = _find_p95_ms(before, kind)
        took_ms = _find_p95_ms(beside, kind)
        if took_ms > usual_ms + MAX_SLOWDOWN_MS:
            yield (
                f"{flood.kind}: 95 % of neighbours ({kind}) ended within "
                f"{took_ms:.0f} ms, {usual_ms:.0f} ms before"
            )


def _find_p95_ms(calls: list[CallRecord], kind: RequestKind) -> float:
    times_ms = [_took_ms(call) for call in calls if call.kind is kind]
    return quantiles(times_ms, n=20)[-1] if len(times_ms) > 1 else 0.0


def _took_ms(call: CallRecord) -> float:
    return call.ended_ms - call.sent_ms


def _is_served(call: CallRecord) -> bool:
    return call.status == 200 and call.is_complete


__all__ = (
    "Endless",
    "Flood",
    "check_flood",
    "pour",
    "read_memory_kb",
    "sample_memory",
)
