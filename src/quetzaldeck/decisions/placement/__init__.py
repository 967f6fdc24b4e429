"""Placement: chooses the upstreams that run a request."""

from __future__ import annotations

from quetzaldeck.decisions.placement.api import PlacementPolicy, placement_policies
from quetzaldeck.decisions.placement.cache_events import (
    CacheCursor,
    CacheEvent,
    CacheEvents,
)
from quetzaldeck.decisions.placement.few_choices import FewChoices
from quetzaldeck.decisions.placement.first_token import FirstToken
from quetzaldeck.decisions.placement.first_token_whole import FirstTokenWhole
from quetzaldeck.decisions.placement.least_reported import LeastReported
from quetzaldeck.decisions.placement.prefix_index import PrefixIndex
from quetzaldeck.decisions.placement.round_robin import RoundRobin

__all__ = (
    "CacheCursor",
    "CacheEvent",
    "CacheEvents",
    "FewChoices",
    "FirstToken",
    "FirstTokenWhole",
    "LeastReported",
    "PlacementPolicy",
    "PrefixIndex",
    "RoundRobin",
    "placement_policies",
)
