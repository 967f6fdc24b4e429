"""Builds the scheduler's pool of upstreams from the fleet state."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.bundle.document import Bundle, ModelSpec, UpstreamSpec

if TYPE_CHECKING:
    from quetzaldeck.belief import FleetBelief
    from quetzaldeck.entry.view import RoutingView
    from quetzaldeck.routing import Replica

NO_EXPIRY_MS = 1 << 53
"""End of validity of bundles built here: the platform's configuration never expires."""


def build_bundle(belief: FleetBelief, view: RoutingView) -> Bundle:
    """Describe the fleet state as a bundle.

    Replicas of services that the configuration does not list are omitted, as no route
    can lead to them.

    :param view: the configuration in force
    """
    specs = (_build_spec(replica, view) for replica in belief.replicas.values())
    return Bundle(
        view.version,
        NO_EXPIRY_MS,
        models=_list_models(view),
        upstreams=tuple(spec for spec in specs if spec is not None),
    )


def list_leaving(belief: FleetBelief) -> tuple[str, ...]:
    """:returns: ids of the replicas that are leaving and get no new work"""
    return tuple(
        replica.replica_id for replica in belief.replicas.values() if replica.is_leaving
    )


def list_incarnations(belief: FleetBelief) -> tuple[tuple[str, str], ...]:
    """:returns: pairs of replica id and incarnation, where a replica states one"""
    return tuple(
        (replica.replica_id, replica.incarnation)
        for replica in belief.replicas.values()
        if replica.incarnation
    )


def _list_models(view: RoutingView) -> tuple[ModelSpec, ...]:
    """:returns: the models of the engines, each with the shortest gap of its routes"""
    return tuple(
        ModelSpec(name, version="", max_gap_ms=view.min_gaps_ms.get(name, 0.0))
        for name, service in view.services.items()
        if service.engine is not None
    )


def _build_spec(replica: Replica, view: RoutingView) -> UpstreamSpec | None:
    service = view.services.get(replica.service)
    if service is None:
        return None
    engine = service.engine
    if engine is None:
        return UpstreamSpec(
            replica.replica_id,
            replica.address,
            kind="service",
            service=replica.service,
            availability_zone=replica.availability_zone,
            max_requests=replica.n_slots,
        )
    return UpstreamSpec(
        replica.replica_id,
        replica.address,
        models=(replica.service,),
        availability_zone=replica.availability_zone,
        kv_tokens=engine.kv_tokens,
        max_requests=replica.n_slots,
        figures=engine,
    )


__all__ = ("build_bundle", "list_incarnations", "list_leaving")
