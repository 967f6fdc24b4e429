"""Pools: which of the upstreams that serve the same requests are used or avoided."""

from __future__ import annotations

from quetzaldeck.decisions.pools.partial_failures import exclude_failing, find_failing
from quetzaldeck.decisions.pools.slow_engines import exclude_slow
from quetzaldeck.decisions.pools.usable import admit_probes, list_usable

__all__ = (
    "admit_probes",
    "exclude_failing",
    "exclude_slow",
    "find_failing",
    "list_usable",
)
