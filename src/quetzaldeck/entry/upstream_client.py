"""The HTTP client for upstreams, with a pool of connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from quetzaldeck.entry.upstream_connector import UpstreamConnector
from quetzaldeck.entry.upstream_protocol import UpstreamRequest, UpstreamResponse
from quetzaldeck.upstreams.send_once import send_once

if TYPE_CHECKING:
    from types import TracebackType

    from multidict import CIMultiDict

    from quetzaldeck.clock import Clock

MAX_IDLE_S = 15.0
"""Idle time after which a connection is closed: it is unlikely to be used again, and
each one counts towards the connections that an upstream accepts from all VMs
together."""

MAX_FIELD_BYTES = 32_768
"""Limit on the status line and on each response header, four times what servers usually
allow."""

READ_BUFFER_BYTES = 65_536
"""Bytes of a body that may wait for a slow caller until reading stops."""

_SUPPRESSED_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


class UpstreamClient:
    """A context manager that owns the connections to all upstreams.

    :param echo_header: header in which an upstream echoes the id of a request
    :param reuses_connections: whether a connection serves more than one request
    :param source_host: local address of the connections; ``""``: any
    """

    def __init__(
        self,
        clock: Clock,
        *,
        echo_header: str,
        reuses_connections: bool = True,
        source_host: str = "",
    ) -> None:
        self._clock = clock
        self._echo_header = echo_header
        self._source_host = source_host
        self._reuses_connections = reuses_connections
        self._client: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> UpstreamClient:
        connector = UpstreamConnector(
            self._clock,
            echo_header=self._echo_header,
            max_idle_s=MAX_IDLE_S if self._reuses_connections else None,
            source_host=self._source_host,
        )
        self._client = aiohttp.ClientSession(
            connector=connector,
            request_class=UpstreamRequest,
            response_class=UpstreamResponse,
            middlewares=(send_once,),
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            max_line_size=MAX_FIELD_BYTES,
            max_field_size=MAX_FIELD_BYTES,
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=_SUPPRESSED_HEADERS,
        )
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        if self._client is not None:
            await self._client.close()

    async def send(
        self,
        address: str,
        method: str,
        raw_path: str,
        headers: CIMultiDict[str],
        body: bytes | None,
    ) -> aiohttp.ClientResponse:
        """Send a request and wait for the head of its response.

        :param raw_path: path and query as the caller sent them
        :returns: the response, which has to be closed, also after an error
        """
        assert self._client is not None
        # The connector has its own timeout; the caller of this method bounds the rest.
        timeout = aiohttp.ClientTimeout(total=None, sock_connect=None)
        return await self._client.request(
            method,
            URL(f"http://{address}{raw_path}", encoded=True),
            headers=headers,
            data=body,
            timeout=timeout,
            allow_redirects=False,
        )


__all__ = ("UpstreamClient",)
