"""Fair shares of customers over all VMs: tokens dispatched here and elsewhere."""

from __future__ import annotations

from quetzaldeck.decisions.fair_shares.dispatched_tokens import DispatchedTokens
from quetzaldeck.decisions.fair_shares.fleet_shares import FleetShares
from quetzaldeck.decisions.fair_shares.share_sum import ShareSum
from quetzaldeck.decisions.fair_shares.tracker import ShareTracker

__all__ = ("DispatchedTokens", "FleetShares", "ShareSum", "ShareTracker")
