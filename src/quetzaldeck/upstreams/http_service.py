"""Adapter for plain services, which forwards calls over HTTP."""

from __future__ import annotations

from contextlib import AsyncExitStack
from typing import TYPE_CHECKING

from quetzaldeck.decisions.loads.load_report import LoadReport
from quetzaldeck.http.answer_bounds import read_body
from quetzaldeck.http.echoed_calls import CALL_ID_HEADER
from quetzaldeck.upstreams.api import ServiceUpstream, service_protocols
from quetzaldeck.upstreams.call import ServiceAnswer
from quetzaldeck.upstreams.http import build_timeout, translate_faults
from quetzaldeck.upstreams.send_once import send_once

if TYPE_CHECKING:
    import aiohttp

    from quetzaldeck.upstreams.call import ServiceCall
    from quetzaldeck.upstreams.watch import Watch

HOP_BY_HOP = frozenset(
    (
        "connection",
        "content-encoding",
        "content-length",
        "host",
        "keep-alive",
        CALL_ID_HEADER.lower(),
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    )
)
"""Headers that apply to a single connection and are not forwarded."""


@service_protocols.register("http")
class HttpService(ServiceUpstream):
    """Forwards calls unchanged."""

    async def call(
        self, call: ServiceCall, timeout_ms: float, watch: Watch
    ) -> ServiceAnswer:
        """Forward a call once; see :meth:`ServiceUpstream.call`."""

        async def send() -> aiohttp.ClientResponse:
            request = self._session.request(
                call.method,
                self._spec.address + call.path,
                headers=list(call.headers),
                data=call.body or None,
                allow_redirects=False,
                middlewares=(send_once,),
                timeout=build_timeout(self._timeouts, timeout_ms),
            )
            return await stack.enter_async_context(request)

        async with translate_faults(self._spec.name), AsyncExitStack() as stack:
            response = await watch.wait(send)
            self._note_heard()
            self._note_said(response)

            async def read() -> bytes:
                data = await watch.wait(response.content.readany)
                self._note_heard()
                return data

            max_bytes = self._timeouts.max_answer_bytes
            body = await read_body(response, max_bytes, read=read, reserve=call.reserve)
            headers = tuple(
                (name, value)
                for name, value in response.headers.items()
                if name.lower() not in HOP_BY_HOP
            )
            return ServiceAnswer(response.status, headers, body)

    async def read_load(self) -> LoadReport:
        """:returns: an empty report, since plain services do not report their load"""
        return LoadReport(self._spec.name, "", 0, 0.0, 0, 0, 0, 0)


__all__ = ("HOP_BY_HOP", "HttpService")
