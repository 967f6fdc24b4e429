"""Relays that distribute updates between the VMs of a large fleet."""

from __future__ import annotations

from quetzaldeck.decisions.relays.bounds import RelayBounds
from quetzaldeck.decisions.relays.pending_acks import PendingAcks
from quetzaldeck.decisions.relays.relay_selector import RelaySelector
from quetzaldeck.decisions.relays.subscribers import Subscribers

__all__ = ("PendingAcks", "RelayBounds", "RelaySelector", "Subscribers")
