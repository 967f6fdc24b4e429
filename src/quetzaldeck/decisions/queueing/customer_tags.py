"""Start tags of the customers of a queue, advanced by what other VMs dispatched."""

from __future__ import annotations

import weakref
from collections import Counter, deque
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from quetzaldeck.decisions.queueing.passed_over import PassedOver

WINDOW_MS = 5_000.0
"""Service elsewhere counts for one to two windows. This bounds how long a customer
waits for others to catch up: an eight-second burst delays it no longer than that."""

MAX_PASSED_OVER = 32
"""Latest overtaken requests of a queue that are kept until they are logged."""

_MIN_IDLE_TAGS = 64


class CustomerTags:
    """Virtual time of a queue, and the start tags of customers without requests.

    Tokens dispatched elsewhere advance the tag of a customer when it next comes to the
    head. The tag is never moved further ahead of the virtual time than by the tokens
    dispatched elsewhere in the last two windows.
    """

    def __init__(self) -> None:
        self.virtual_time = 0.0
        self.passed_over: deque[PassedOver] = deque(maxlen=MAX_PASSED_OVER)
        self._idle: dict[str, float] = {}
        self._leads: dict[str, float] = {}
        self._pending: Counter[str] = Counter()
        self._recent: Counter[str] = Counter()
        self._older: Counter[str] = Counter()

    @property
    def has_pending(self) -> bool:
        """:returns: whether any tag has still to be advanced"""
        return bool(self._pending)

    @property
    def has_recent(self) -> bool:
        """:returns: whether other VMs dispatched requests of this queue recently"""
        return bool(self._recent or self._older)

    def start_tag(self, customer: str) -> float:
        """:returns: the tag of a customer that has requests again"""
        tag = self._idle.get(customer, 0.0)
        if tag > self.virtual_time:
            return tag
        self._leads.pop(customer, None)
        return self.virtual_time

    def advance(self, tag: float, customer: str, weight: float) -> float:
        """:returns: the tag, advanced by what was dispatched elsewhere since"""
        n_tokens = self._pending.pop(customer, 0)
        if not n_tokens:
            return tag
        n_recent = self._recent[customer] + self._older[customer]
        latest = self.virtual_time + n_recent / weight
        advanced = max(tag, min(tag + n_tokens / weight, latest))
        self._leads[customer] = self._leads.get(customer, 0.0) + advanced - tag
        return advanced

    def lead(self, tag: float, customer: str) -> float:
        """:returns: the part of a tag that is due to service elsewhere"""
        lead = self._leads.get(customer, 0.0)
        return min(lead, max(0.0, tag - self.virtual_time))

    def note_idle(self, customer: str, tag: float, n_queued: int) -> None:
        """Keep the tag of a customer without requests.

        It matters only while it is ahead of the virtual time; older ones are dropped,
        so that memory does not grow with all customers ever served.

        :param n_queued: number of customers with requests
        """
        self._idle[customer] = tag
        if len(self._idle) > 2 * n_queued + _MIN_IDLE_TAGS:
            now = self.virtual_time
            self._idle = {c: tag for c, tag in self._idle.items() if tag > now}

    def note_served_elsewhere(self, customer: str, n_tokens: int) -> None:
        """Count tokens that other VMs dispatched for a customer."""
        self._pending[customer] += n_tokens
        self._recent[customer] += n_tokens

    def end_window(self) -> None:
        """Drop what was dispatched before the window that ends now."""
        self._older, self._recent = self._recent, Counter()
        self._pending &= self._older
        known = self._older.keys() | self._idle.keys()
        self._leads = {c: lead for c, lead in self._leads.items() if c in known}


class CustomerTagTable:
    """Tags by label of their queue; see ``share_target``.

    A queue of one VM is often empty for a moment. Its tags outlive it while other VMs
    report what they dispatch, otherwise they end with the queue.
    """

    def __init__(self) -> None:
        self._live: weakref.WeakValueDictionary[str, CustomerTags] = (
            weakref.WeakValueDictionary()
        )
        self._shared: dict[str, CustomerTags] = {}
        self._window_ms = 0.0

    def obtain(self, target: str) -> CustomerTags:
        """:returns: the tags of a queue, new ones if there are none"""
        tags = self._live.get(target)
        if tags is None:
            tags = self._live[target] = CustomerTags()
        return tags

    def note_served_elsewhere(self, target: str, customer: str, n_tokens: int) -> None:
        """Count tokens that other VMs dispatched for a customer."""
        tags = self._shared[target] = self.obtain(target)
        tags.note_served_elsewhere(customer, n_tokens)

    def advance(self, now_ms: float) -> None:
        """End the window if it is over."""
        if not self._shared or now_ms - self._window_ms < WINDOW_MS:
            return
        self._window_ms = now_ms
        for target, tags in tuple(self._shared.items()):
            tags.end_window()
            if not tags.has_recent:
                del self._shared[target]

    def pop_passed_over(self) -> list[PassedOver]:
        """:returns: requests overtaken since the last call"""
        passed_over: list[PassedOver] = []
        for tags in self._shared.values():
            passed_over += tags.passed_over
            tags.passed_over.clear()
        return passed_over


__all__ = ("MAX_PASSED_OVER", "WINDOW_MS", "CustomerTagTable", "CustomerTags")
