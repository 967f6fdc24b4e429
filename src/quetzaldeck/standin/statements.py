"""What stand-ins say of themselves: that they want to rest, or that they leave."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.clock.clock import MS_PER_SECOND
from quetzaldeck.http import json_response
from quetzaldeck.upstreams.http import HTTP_UNAVAILABLE, LEAVING_HEADER

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.standin.faults import EngineFaults, ServiceFaults


def build_statement_headers(faults: EngineFaults | ServiceFaults) -> dict[str, str]:
    """:returns: headers of each response to a call"""
    return {LEAVING_HEADER: "1"} if faults.is_leaving else {}


def build_refusal(faults: EngineFaults | ServiceFaults) -> web.Response | None:
    """:returns: the response that turns a call away; ``None``: it is run"""
    if not faults.rest_ms:
        return None
    retry_after = f"{faults.rest_ms / MS_PER_SECOND:g}"
    headers = {"Retry-After": retry_after, **build_statement_headers(faults)}
    return json_response(
        {"error": "wants to rest"}, status=HTTP_UNAVAILABLE, headers=headers
    )


__all__ = ("build_refusal", "build_statement_headers")
