"""Accounting of the engine memory that this VM's attempts hold."""

from __future__ import annotations

from quetzaldeck.decisions.memory.in_flight import InFlightAttempt
from quetzaldeck.decisions.memory.ledger import MemoryLedger

__all__ = ("InFlightAttempt", "MemoryLedger")
