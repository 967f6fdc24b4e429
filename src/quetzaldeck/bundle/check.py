"""Consistency checks between the parts of a bundle."""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

from quetzaldeck.config.finding import Finding

if TYPE_CHECKING:
    from collections.abc import Iterable

    from quetzaldeck.bundle.document import Bundle

MAX_PAYLOAD_BYTES = 4_000_000
"""Maximum size of the JSON of a bundle; limits what a receiver decompresses."""

MAX_ENVELOPE_BYTES = 1_000_000
"""Maximum size of a value in the configuration service."""

_SHA256_HEX = re.compile(r"^[0-9a-f]{64}$")


def check_bundle(bundle: Bundle, source: str = "bundle") -> list[Finding]:
    """:returns: a finding for every inconsistency in ``bundle``"""
    findings: list[Finding] = []
    for part in ("models", "customers", "upstreams", "services"):
        names = [item.name for item in getattr(bundle, part)]
        findings.extend(_check_unique(names, part))
    findings.extend(_check_customers(bundle))
    findings.extend(_check_upstreams(bundle))
    findings.extend(_check_services(bundle))
    return [finding._replace(source=source) for finding in findings]


def _check_unique(names: list[str], part: str) -> Iterable[Finding]:
    seen: dict[str, int] = {}
    for index, name in enumerate(names):
        first = seen.setdefault(name, index)
        if first != index:
            place = f"{part}[{index}].name"
            yield Finding(place, f"{name!r} is already the name of {part}[{first}]")


def _check_known(
    names: Iterable[str], known: set[str], place: str, kind: str
) -> Iterable[Finding]:
    for name in names:
        if name not in known:
            yield Finding(place, f"the bundle has no {kind} named {name!r}")


def _check_customers(bundle: Bundle) -> Iterable[Finding]:
    models = {model.name for model in bundle.models}
    adapters = {name for model in bundle.models for name in model.adapters}
    services = {service.name for service in bundle.services}
    owners: dict[str, str] = {}
    for index, customer in enumerate(bundle.customers):
        place = f"customers[{index}]"
        yield from _check_known(customer.models, models, f"{place}.models", "model")
        yield from _check_known(
            customer.adapters, adapters, f"{place}.adapters", "adapter"
        )
        yield from _check_known(
            customer.services, services, f"{place}.services", "service"
        )
        for key_hash in customer.key_hashes:
            if not _SHA256_HEX.match(key_hash):
                message = "must be the SHA-256 of a key in 64 lower-case hex digits"
                yield Finding(f"{place}.key_hashes", message)
            owner = owners.setdefault(key_hash, customer.name)
            if owner != customer.name:
                message = f"this key also belongs to customer {owner!r}"
                yield Finding(f"{place}.key_hashes", message)


def _check_upstreams(bundle: Bundle) -> Iterable[Finding]:
    models = {model.name for model in bundle.models}
    services = {service.name for service in bundle.services}
    for index, upstream in enumerate(bundle.upstreams):
        place = f"upstreams[{index}]"
        yield from _check_known(upstream.models, models, f"{place}.models", "model")
        if not upstream.address.startswith(("http://", "https://")):
            yield Finding(f"{place}.address", "must start with http:// or https://")
        if upstream.kind == "engine" and upstream.kv_tokens == 0:
            yield Finding(
                f"{place}.kv_tokens",
                "must be the KV cache capacity of the engine, at least 1",
            )
        if upstream.kind == "service":
            yield from _check_known(
                [upstream.service], services, f"{place}.service", "service"
            )


def _check_services(bundle: Bundle) -> Iterable[Finding]:
    for index, service in enumerate(bundle.services):
        place = f"services[{index}].prefix"
        if not service.prefix.startswith("/") or service.prefix.endswith("/"):
            yield Finding(place, "must start with / and not end with /")
        if service.prefix == "/v1" or service.prefix.startswith("/v1/"):
            yield Finding(
                place, "must not start with /v1, which is reserved for models"
            )


__all__ = ("MAX_ENVELOPE_BYTES", "MAX_PAYLOAD_BYTES", "check_bundle")
