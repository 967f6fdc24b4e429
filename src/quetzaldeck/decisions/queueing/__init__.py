"""Queue policies, which choose the next request to dispatch, and queue counters."""

from __future__ import annotations

from quetzaldeck.decisions.queueing.api import QueuePolicy, queue_policies
from quetzaldeck.decisions.queueing.counters import QueueCounters, QueueSize
from quetzaldeck.decisions.queueing.deadline_heap import DeadlineHeap
from quetzaldeck.decisions.queueing.fair import FairQueue
from quetzaldeck.decisions.queueing.fifo import FifoQueue
from quetzaldeck.decisions.queueing.in_time import InTimeQueue

__all__ = (
    "DeadlineHeap",
    "FairQueue",
    "FifoQueue",
    "InTimeQueue",
    "QueueCounters",
    "QueuePolicy",
    "QueueSize",
    "queue_policies",
)
