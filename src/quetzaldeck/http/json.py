"""JSON bodies of requests and responses between processes."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any, TypeVar

import msgspec
from aiohttp import web

if TYPE_CHECKING:
    from quetzaldeck.json_decoder import JsonDecoder

T = TypeVar("T")

JSON_TYPE = "application/json"


class BodyError(ValueError):
    """Raised for a body that is not the expected message."""


def json_response(
    value: Any, *, status: int = 200, headers: dict[str, str] | None = None
) -> web.Response:
    """:returns: ``value`` as a JSON response"""
    return web.Response(
        body=msgspec.json.encode(value),
        status=status,
        headers=headers,
        content_type=JSON_TYPE,
    )


def decode_body(data: bytes, decoder: JsonDecoder[T]) -> T:
    """:returns: the message in ``data``

    :raises BodyError: naming the field that is not valid
    """
    try:
        return decoder.decode(data)
    except msgspec.DecodeError as error:
        raise BodyError(str(error)) from error


__all__ = ("JSON_TYPE", "BodyError", "decode_body", "json_response")
