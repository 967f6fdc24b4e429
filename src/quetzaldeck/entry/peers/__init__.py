"""State that entry VMs exchange: known VMs, load at upstreams, and the fleet state."""

from __future__ import annotations

from quetzaldeck.entry.peers.belief_feed import BeliefFeed
from quetzaldeck.entry.peers.belief_service import BeliefService
from quetzaldeck.entry.peers.belief_source import PeerSource
from quetzaldeck.entry.peers.table import PeerTable
from quetzaldeck.entry.peers.task import PeerTask

__all__ = ("BeliefFeed", "BeliefService", "PeerSource", "PeerTable", "PeerTask")
