"""Figures of sharing what the source says between VMs, and their grounds."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.clock.clock import MS_PER_SECOND

SOURCE_WAIT_SHARE = 0.3
WAIT_SHARE = 1 / 8
ANSWER_SHARE = 1 / 10
BATCH_SHARE = 1 / 10
RETRY_SHARE = 1 / 4

MIN_HOLD_MS = 1.0
"""Shortest hold of a question that only asks whether what is believed still holds."""

MAX_DOUBLINGS = 16
"""Keeps the pause between two tries a finite number however long an outage lasts."""


class SharingBounds(NamedTuple):
    """How long to wait for what, as shares of the shortest bound on a change.

    A VM that learns from another one may notice late that the other has stopped, or
    has lost the source itself. The worst case is a word just young enough, the next one
    at the end of a wait, and then a question to the source: ``max_told_age_ms + wait_ms
    + answer_ms``, 1,700 of 2,000 ms.

    Calls to the source are paid for and limited, questions between VMs are not: so a
    watcher's question is held for longer than those of the VMs that ask it.

    :param shortest_ms: shortest time in which a change has to be in force
    :param max_answers_per_core_s: answers of a watcher with a whole core to other VMs,
        in quiet times: a third of it
    :param max_retries_s: questions of all VMs but the watchers to a source that fails
    :param suspect_ms: a VM that failed to tell is not asked for so long; a restart
        takes a second or two
    """

    shortest_ms: float
    max_answers_per_core_s: float = 400.0
    max_retries_s: float = 20.0
    suspect_ms: float = 5_000.0

    @property
    def source_wait_ms(self) -> float:
        """:returns: how long the source holds a question if nothing changes"""
        return self.shortest_ms * SOURCE_WAIT_SHARE

    def hold_ms(self, age_ms: float) -> float:
        """:returns: how long the source holds a watcher's question now

        An answer with a change does not say for how long it was held, so what is
        believed is as old as its question. The next one is held for what is left, or
        the watcher would seem to have lost the source to those that it tells.

        :param age_ms: of what the watcher believes
        """
        return max(MIN_HOLD_MS, self.source_wait_ms - max(0.0, age_ms))

    @property
    def wait_ms(self) -> float:
        """:returns: how long another VM holds a question if nothing changes"""
        return self.shortest_ms * WAIT_SHARE

    @property
    def answer_ms(self) -> float:
        """:returns: how long another VM may take beyond the wait

        Answers between VMs take a few milliseconds; a VM on a slow processor takes
        some tens.
        """
        return self.shortest_ms * ANSWER_SHARE

    @property
    def batch_ms(self) -> float:
        """:returns: pause after a change, in which further ones are gathered

        Changes that come in quick succession are then taken with one call.
        """
        return self.shortest_ms * BATCH_SHARE

    @property
    def max_told_age_ms(self) -> float:
        """:returns: age above which what a VM tells shows that it lost the source

        A watcher's own word is at most as old as a question that is held for the full
        time and the pause after a change, see :meth:`hold_ms`; the question of the VM
        that asks it and the way of the answer come on top.
        """
        return self.source_wait_ms + self.wait_ms + self.batch_ms + self.answer_ms

    @property
    def retry_ms(self) -> float:
        """:returns: how long others are preferred to a source that failed once"""
        return self.shortest_ms * RETRY_SHARE

    def retry_pause_ms(self, n_failures: int, n_vms: int) -> float:
        """:returns: pause of a VM that is no watcher, before it asks the source again

        It asks other VMs meanwhile, and they tell it of the source's return: so the
        pauses grow, and in a large fleet they are long from the first.

        :param n_failures: of its questions to the source, one after the other
        :param n_vms: VMs of the fleet
        """
        n_doublings = min(max(0, n_failures - 1), MAX_DOUBLINGS)
        grown_ms = min(self.suspect_ms, self.retry_ms * float(2**n_doublings))
        return max(grown_ms, n_vms / self.max_retries_s * MS_PER_SECOND)

    def n_vms_per_watcher(self, capacity: float) -> float:
        """:returns: VMs for which one VM may watch the source

        :param capacity: its processor, in cores
        """
        answers_per_s = self.max_answers_per_core_s * capacity
        return max(1.0, answers_per_s * self.wait_ms / MS_PER_SECOND)


__all__ = ("SharingBounds",)
