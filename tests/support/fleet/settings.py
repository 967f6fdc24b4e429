"""Size and parameters of an in-process fleet."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.claims import ClaimSettings
from quetzaldeck.commands import CommandSettings
from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.settings import (
    CallerBounds,
    ShutdownSettings,
    UpstreamBounds,
)
from quetzaldeck.membership import MembershipSettings
from quetzaldeck.reclaim import ReclaimSettings

FAST_ENGINE = EngineProfile(prefill_tokens_per_s=400_000.0, step_ms=2.0)

FAST_MEMBERSHIP = MembershipSettings(
    probe_interval_ms=50,
    probe_timeout_ms=250,
    confirm_ms=1_000,
    confirm_listed_ms=3_000,
    forget_ms=10_000,
)

# All VMs and callers of a fleet in one process share one clock, so there is no skew.
FAST_CLAIMS = ClaimSettings(max_clock_skew_ms=0, sync_interval_ms=50)

FAST_COMMANDS = CommandSettings(interval_ms=50, takeover_ms=1_000, retry_ms=500)

FAST_RECLAIM = ReclaimSettings(interval_ms=100, min_age_ms=200, quiet_ms=1_000)
FAST_SHUTDOWN = ShutdownSettings(balancer_lag_ms=500)


class FleetSettings(NamedTuple):
    """Size and parameters of an in-process fleet.

    :param zones: zones to which VMs and upstreams are assigned in turn
    :param service_duration_ms: duration of a call of a plain service
    :param claims: parameters of claims, with shorter times than in production
    :param max_models: models that an engine has capacity for; 0: any number
    :param vm_list_lag_ms: time until readers see a change of the platform's list
    :param membership: times of membership, shorter than in production
    :param commands: times of commands to engines, shorter than in production
    :param reclaim: times of reclaim, shorter than in production
    :param join_timeout_ms: how long a starting agent waits for peers
    :param watch_timeout_ms: length of a watch of the configuration service
    :param read_interval_ms: time between reads of a VM that does not watch
    :param max_watchers: number of VMs that watch at a time
    :param vm_list_interval_ms: time between reads of the platform's list
    :param exchange_interval_ms: time between exchanges of a gateway with its agent
    :param callers: limits that every gateway sets for its callers
    :param upstreams: timeouts of every gateway for upstreams
    :param shutdown: times of a graceful shutdown, shorter than in production
    """

    n_vms: int = 2
    n_engines: int = 3
    n_services: int = 1
    service_duration_ms: int = 10
    zones: tuple[str, ...] = ("ktm-a", "ktm-b", "ktm-c")
    profile: EngineProfile = FAST_ENGINE
    max_models: int = 0
    vm_list_lag_ms: int = 200
    membership: MembershipSettings = FAST_MEMBERSHIP
    claims: ClaimSettings = FAST_CLAIMS
    commands: CommandSettings = FAST_COMMANDS
    reclaim: ReclaimSettings = FAST_RECLAIM
    join_timeout_ms: int = 5_000
    watch_timeout_ms: int = 20_000
    read_interval_ms: int = 600_000
    max_watchers: int = 8
    vm_list_interval_ms: int = 100
    exchange_interval_ms: int = 50
    callers: CallerBounds = CallerBounds()
    upstreams: UpstreamBounds = UpstreamBounds()
    shutdown: ShutdownSettings = FAST_SHUTDOWN


__all__ = ("FAST_CLAIMS", "FAST_ENGINE", "FAST_MEMBERSHIP", "FleetSettings")
