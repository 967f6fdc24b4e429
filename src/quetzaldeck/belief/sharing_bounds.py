"""Time limits and rates for sharing the source's answers between VMs."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND

SOURCE_WAIT_SHARE = 0.3
WAIT_SHARE = 1 / 8
ANSWER_SHARE = 1 / 10
BATCH_SHARE = 1 / 10
RETRY_SHARE = 1 / 4

MIN_HOLD_MS = 1.0
"""Shortest long-poll wait, used when this VM's fleet state only needs confirmation."""

MAX_DOUBLINGS = 16
"""Keeps the pause between retries finite however long an outage lasts."""


class SharingBounds(NamedTuple):
    """Timeouts, as shares of the shortest time in which a change must take effect.

    A VM that gets its updates from another VM may notice late that the other has
    stopped, or has itself lost the source. In the worst case it accepts an answer that
    is just young enough, waits in vain for the next one, and then queries the source:
    ``max_answer_age_ms + wait_ms + answer_ms``, which is 1,700 of 2,000 ms.

    Requests to the source are billed and rate-limited, requests between VMs are not.
    The long polls of a watcher are therefore longer than those of the VMs that poll it.

    :param min_deadline_ms: shortest time within which a change must take effect
    :param max_answers_per_core_s: answers per second that a watcher with one core gives
        to other VMs while nothing changes; these answers take a third of the core
    :param max_retries_s: requests per second to a failing source, by all VMs together
        except the watchers
    :param suspect_ms: time for which a VM that failed to answer is not polled again; a
        restart takes one or two seconds
    """

    min_deadline_ms: float
    max_answers_per_core_s: float = 400.0
    max_retries_s: float = 20.0
    suspect_ms: float = 5_000.0

    @property
    def source_wait_ms(self) -> float:
        """:returns: duration of a long poll of the source if nothing changes"""
        return self.min_deadline_ms * SOURCE_WAIT_SHARE

    def hold_ms(self, age_ms: float) -> float:
        """:returns: duration of a watcher's next long poll of the source

        An answer that carries a change does not state how long the source held the
        request, so the fleet state counts as old as the request. The next poll is
        shortened by that age; otherwise the VMs that poll this watcher would conclude
        that it has lost the source.

        :param age_ms: age of the watcher's fleet state
        """
        return max(MIN_HOLD_MS, self.source_wait_ms - max(0.0, age_ms))

    @property
    def wait_ms(self) -> float:
        """:returns: duration of a long poll of another VM if nothing changes"""
        return self.min_deadline_ms * WAIT_SHARE

    @property
    def answer_ms(self) -> float:
        """:returns: how long another VM may take to answer in addition to the wait

        An answer usually takes a few milliseconds, and a few tens on a slow processor.
        """
        return self.min_deadline_ms * ANSWER_SHARE

    @property
    def batch_ms(self) -> float:
        """:returns: pause after a change, to read further changes in one request"""
        return self.min_deadline_ms * BATCH_SHARE

    @property
    def max_answer_age_ms(self) -> float:
        """:returns: age above which an answer shows that a watcher has lost the source

        A watcher's fleet state is at most as old as a full long poll of the source plus
        the pause after a change, see :meth:`hold_ms`. The long poll of the polling VM
        and the time until the answer arrives are added to that.
        """
        return self.source_wait_ms + self.wait_ms + self.batch_ms + self.answer_ms

    @property
    def retry_ms(self) -> float:
        """:returns: time for which other VMs are polled after the source failed once"""
        return self.min_deadline_ms * RETRY_SHARE

    def retry_pause_ms(self, n_failures: int, n_vms: int) -> float:
        """:returns: pause before a VM that is not a watcher queries the source again

        Meanwhile it polls other VMs and learns from them when the source recovers. The
        pause can therefore grow exponentially, and starts long in a large fleet.

        :param n_failures: consecutive failed requests of this VM to the source
        :param n_vms: number of VMs in the fleet
        """
        n_doublings = min(max(0, n_failures - 1), MAX_DOUBLINGS)
        grown_ms = min(self.suspect_ms, self.retry_ms * float(2**n_doublings))
        return max(grown_ms, n_vms / self.max_retries_s * MS_PER_SECOND)

    def n_vms_per_watcher(self, capacity: float) -> float:
        """:returns: number of VMs that one watcher can serve

        :param capacity: the watcher's processor capacity, in cores
        """
        answers_per_s = self.max_answers_per_core_s * capacity
        return max(1.0, answers_per_s * self.wait_ms / MS_PER_SECOND)


__all__ = ("SharingBounds",)
