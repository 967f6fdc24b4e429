"""Short summary of a bundle, for operators who are about to roll it out."""

from __future__ import annotations

from collections import Counter
from datetime import UTC, datetime
from typing import TYPE_CHECKING

from quetzaldeck.bundle.codec import encode_bundle
from quetzaldeck.bundle.signing import Envelope, encode_envelope

if TYPE_CHECKING:
    from quetzaldeck.bundle.document import Bundle

MS_PER_SECOND = 1_000


def render_summary(bundle: Bundle) -> str:
    """:returns: version, size and counts of a bundle, then its models and services"""
    valid_until = datetime.fromtimestamp(bundle.valid_until_ms / MS_PER_SECOND, UTC)
    payload = encode_bundle(bundle)
    n_packed = len(encode_envelope(Envelope("", "", payload.decode())))
    kinds = Counter(upstream.kind for upstream in bundle.upstreams)
    zones = sorted({upstream.availability_zone for upstream in bundle.upstreams})
    lines = [
        f"version        {bundle.version}",
        f"valid until    {valid_until:%Y-%m-%d %H:%M} UTC",
        f"profile        {bundle.profile}",
        f"size           {len(payload)} bytes, {n_packed} bytes signed and packed",
        f"customers      {len(bundle.customers)}",
        f"engines        {kinds['engine']}",
        f"replicas       {kinds['service']} of {len(bundle.services)} plain services",
        f"zones          {', '.join(zone for zone in zones if zone) or 'none named'}",
    ]
    lines.extend(_render_models(bundle))
    lines.extend(_render_services(bundle))
    return "\n".join(lines)


def _render_models(bundle: Bundle) -> list[str]:
    lines = []
    for model in bundle.models:
        n_engines = sum(model.name in item.models for item in bundle.upstreams)
        n_customers = sum(model.name in item.models for item in bundle.customers)
        lines.append(
            f"model          {model.name} version {model.version}: "
            f"{n_engines} engines, {n_customers} customers"
        )
    return lines


def _render_services(bundle: Bundle) -> list[str]:
    lines = []
    for service in bundle.services:
        patterns = ", ".join(f"{p.method} {p.path}" for p in service.non_repeatable)
        lines.append(
            f"service        {service.name} under {service.prefix}; "
            f"runs at most once: {patterns or 'nothing'}"
        )
    return lines


__all__ = ("render_summary",)
