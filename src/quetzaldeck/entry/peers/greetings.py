"""How often a VM greets others, so that VMs that start together know each other."""

from __future__ import annotations

GREETING_INTERVAL_MS = 500.0
"""Interval of greetings: VMs that start together know each other within seconds."""

N_GREETED = 3
"""Number of VMs greeted in each interval."""

N_GREETED_STABLE = 2
"""The same number in a stable fleet; see ``PeerTable``."""

__all__ = ("GREETING_INTERVAL_MS", "N_GREETED", "N_GREETED_STABLE")
