"""How what VMs tell each other reaches all of a large fleet."""

from __future__ import annotations

from quetzaldeck.decisions.relays.bounds import RelayBounds
from quetzaldeck.decisions.relays.choice import RelayChoice
from quetzaldeck.decisions.relays.receipts import Receipts
from quetzaldeck.decisions.relays.subscribers import Subscribers

__all__ = ("Receipts", "RelayBounds", "RelayChoice", "Subscribers")
