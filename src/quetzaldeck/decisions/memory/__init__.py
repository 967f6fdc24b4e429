"""Accounting of engine memory."""

from __future__ import annotations

from quetzaldeck.decisions.memory.in_flight import InFlightAttempt
from quetzaldeck.decisions.memory.ledger import MemoryLedger

__all__ = ("InFlightAttempt", "MemoryLedger")
