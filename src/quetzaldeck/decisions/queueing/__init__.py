"""Queue policies, which choose the next request to dispatch, and queue counters."""

from __future__ import annotations

from quetzaldeck.decisions.queueing.api import QueuePolicy, queue_policies
from quetzaldeck.decisions.queueing.counters import QueueCounters, QueueSize
from quetzaldeck.decisions.queueing.deadline_heap import DeadlineHeap
from quetzaldeck.decisions.queueing.fair import FairQueue
from quetzaldeck.decisions.queueing.fifo import FifoQueue
from quetzaldeck.decisions.queueing.in_time import InTimeQueue
from quetzaldeck.decisions.queueing.passed_over import PassedOver, ShareRule
from quetzaldeck.decisions.queueing.share_target import share_target

__all__ = (
    "DeadlineHeap",
    "FairQueue",
    "FifoQueue",
    "InTimeQueue",
    "PassedOver",
    "QueueCounters",
    "QueuePolicy",
    "QueueSize",
    "ShareRule",
    "queue_policies",
    "share_target",
)
