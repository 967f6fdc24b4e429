"""Figures of relaying news between VMs."""

from __future__ import annotations

from typing import NamedTuple


class RelayBounds(NamedTuple):
    """Sizes and times.

    :param n_peers_relayed: with more other VMs than this, a VM tells its news to a
        relay only; with fewer, to each of them, which is faster
    :param n_peers_joining: with more other VMs than this, a VM asks a relay for news;
        less than ``n_peers_relayed``, since VMs may disagree on how many there are
    :param n_members_per_core: members that a relay with a whole core takes
    :param join_ms: pause between two requests of a VM to be told news
    :param n_missed_joins: requests that may be lost before a VM is told nothing more
    :param ack_timeout_ms: time in which a VM confirms that it was told something
    :param n_sends: how often something is told to a VM that does not confirm it
    :param suspect_ms: a VM that did not confirm is not chosen for so long, and for
        twice as long after each further time
    :param max_suspect_ms: longest time for that
    :param tick_ms: shortest pause between two messages to the same VMs
    :param send_ms: processor time for a datagram
    :param send_share: part of a relay's processor that sending may take
    """

    n_peers_relayed: int = 24
    n_peers_joining: int = 22
    n_members_per_core: float = 80.0
    join_ms: float = 500.0
    n_missed_joins: int = 3
    ack_timeout_ms: float = 100.0
    n_sends: int = 2
    suspect_ms: float = 3_000.0
    max_suspect_ms: float = 12_000.0
    tick_ms: float = 20.0
    send_ms: float = 0.08
    send_share: float = 0.25

    def flush_ms(self, n_receivers: int, capacity: float) -> float:
        """:returns: pause of a relay between two messages to all that it tells

        :param capacity: its processor, in cores
        """
        return max(
            self.tick_ms, n_receivers * self.send_ms / (self.send_share * capacity)
        )


__all__ = ("RelayBounds",)
