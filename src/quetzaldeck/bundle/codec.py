"""Encoding and decoding of bundles as JSON."""

from __future__ import annotations

from typing import Any

import msgspec

from quetzaldeck.bundle.check import MAX_PAYLOAD_BYTES, check_bundle
from quetzaldeck.bundle.document import Bundle
from quetzaldeck.config.compiled import decode_fast
from quetzaldeck.config.fields import Field, is_section, list_fields
from quetzaldeck.config.finding import Finding, raise_findings
from quetzaldeck.config.loader import load_data
from quetzaldeck.json_decoder import JsonDecoder


def to_plain(value: Any) -> Any:
    """:returns: ``value`` as dicts and lists, without fields that have their default"""
    if is_section(type(value)):
        return {
            field.name: to_plain(member)
            for field, member in zip(_fields_of(value), value, strict=True)
            if member != field.default
        }
    if isinstance(value, tuple):
        return [to_plain(item) for item in value]
    return value


def _fields_of(value: Any) -> tuple[Field, ...]:
    cls: Any = type(value)
    return list_fields(cls)


def encode_bundle(bundle: Bundle) -> bytes:
    """:returns: canonical JSON of ``bundle``: sorted keys, default values omitted"""
    return msgspec.json.encode(to_plain(bundle), order="sorted")


_ANY_DECODER = JsonDecoder(Any)


def decode_bundle(payload: bytes, source: str = "bundle") -> Bundle:
    """Decode and check a bundle.

    :param payload: JSON of the bundle
    :param source: name of the bundle, shown in findings
    :raises FindingsError: with every fault of the payload
    """
    if len(payload) > MAX_PAYLOAD_BYTES:
        message = f"has {len(payload)} bytes; at most {MAX_PAYLOAD_BYTES} are allowed"
        raise_findings(source, [Finding("", message, source=source)])
    try:
        bundle = decode_fast(payload, Bundle)
    except msgspec.DecodeError:
        bundle = _decode_checked(payload, source)
    raise_findings(source, check_bundle(bundle, source))
    return bundle


def _decode_checked(payload: bytes, source: str) -> Bundle:
    try:
        data = _ANY_DECODER.decode(payload)
    except msgspec.DecodeError as error:
        raise_findings(source, [Finding("", f"is not JSON: {error}", source=source)])
    return load_data(data, Bundle, source)


__all__ = ("decode_bundle", "encode_bundle", "to_plain")
