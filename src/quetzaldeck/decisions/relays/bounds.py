"""Limits and times for relaying updates between VMs."""

from __future__ import annotations

from typing import NamedTuple


class RelayBounds(NamedTuple):
    """Limits and times for relaying updates between VMs.

    :param n_peers_relayed: with more peers than this, a VM sends its updates only to a
        relay; with fewer, directly to each of them, which is faster
    :param n_peers_joining: with more peers than this, a VM subscribes to a relay; less
        than ``n_peers_relayed``, since VMs may disagree on the number of peers
    :param n_members_per_core: members that a relay with one core can serve
    :param join_ms: interval at which a VM renews its subscription
    :param n_missed_joins: renewals that may be lost before a subscription expires
    :param ack_timeout_ms: time within which a VM must acknowledge a message
    :param n_sends: how often a message is sent to a VM that does not acknowledge it
    :param suspect_ms: time for which a VM is not selected after it missed an
        acknowledgement; it doubles with each further miss
    :param max_suspect_ms: upper limit of that time
    :param tick_ms: shortest interval between two messages to the same VMs
    :param send_ms: processor time needed to send a datagram
    :param send_share: share of a relay's processor that sending may use
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
        """:returns: interval between two messages of a relay to all its receivers

        :param capacity: the relay's processor capacity, in cores
        """
        return max(
            self.tick_ms, n_receivers * self.send_ms / (self.send_share * capacity)
        )


__all__ = ("RelayBounds",)
