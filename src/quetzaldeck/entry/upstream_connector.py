"""The pool of connections to upstreams: which one a request is sent on."""

from __future__ import annotations

import functools
import socket
from typing import TYPE_CHECKING

import aiohttp

from quetzaldeck.entry.upstream_protocol import UpstreamProtocol
from quetzaldeck.running_timeout import RunningTimeout

if TYPE_CHECKING:
    from aiohttp.client_proto import ResponseHandler
    from aiohttp.client_reqrep import ClientRequest, ConnectionKey
    from aiohttp.connector import AddrInfoType, Connection
    from aiohttp.tracing import Trace

    from quetzaldeck.clock import Clock

PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
N_PROBES = 2
"""TCP keep-alive detects within three seconds that a device on the path has dropped an
idle connection; otherwise the next request on it would fail."""

TCP_USER_TIMEOUT_MS = 2_500
"""After this time without an acknowledgement the kernel closes a connection: nothing
else detects an upstream behind a network partition, which never responds. Linux also
gives up keep-alive probes by it, whatever their count: a shorter time than until the
last probe would close the connection of a sound upstream that misses one."""

RECEIVE_BYTES = 65_536
"""Receive buffer of a connection; the kernel takes twice as much. What is written to a
caller that does not read lies there."""

CONNECT_TIMEOUT_MS = 500.0
"""Hundreds of times the latency between zones, but less than an interactive caller is
willing to wait."""


class UpstreamConnector(aiohttp.TCPConnector):
    """Opens connections of :class:`UpstreamProtocol`.

    :param max_idle_s: how long an idle connection is kept; ``None``: not at all
    :param source_host: local address of the connections; ``""``: any
    """

    def __init__(
        self,
        clock: Clock,
        *,
        echo_header: str,
        max_idle_s: float | None,
        source_host: str = "",
    ) -> None:
        super().__init__(
            local_addr=(source_host, 0) if source_host else None,
            limit=0,
            force_close=max_idle_s is None,
            keepalive_timeout=max_idle_s,
            socket_factory=open_socket,
            use_dns_cache=False,
        )
        self._echo_header = echo_header
        self._connecting: ClientRequest | None = None
        # aiohttp annotates this attribute with its own class; a subclass works as well.
        self._factory = functools.partial(  # type: ignore[assignment]
            UpstreamProtocol, loop=self._loop, clock=clock, echo_header=echo_header
        )

    async def connect(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> Connection:
        """Get a connection that tells responses apart; see the base class."""
        # The base class calls _get before it awaits anything.
        self._connecting = req
        return await super().connect(req, traces, timeout)

    async def _get(self, key: ConnectionKey, traces: list[Trace]) -> Connection | None:
        """Take a suitable idle connection; others stay idle. See the base class.

        :returns: ``None`` if a new connection is to be opened
        """
        idle = self._conns.get(key)
        if not idle:
            return None
        for index, (protocol, _) in enumerate(idle):
            if self._suits(protocol):
                idle.rotate(-index)
                break
        connection = await super()._get(key, traces)
        # The base class passes over connections that have been idle for too long.
        if connection is None or self._suits(connection.protocol):
            return connection
        connection.release()
        return None

    def _suits(self, protocol: ResponseHandler | None) -> bool:
        """:returns: whether the request that is to be sent may use a connection"""
        request = self._connecting
        if request is None or not isinstance(protocol, UpstreamProtocol):
            return True
        request_id = request.headers.get(self._echo_header)
        return protocol.can_tell_apart(request_id, request.method)

    async def _create_connection(
        self, req: ClientRequest, traces: list[Trace], timeout: aiohttp.ClientTimeout
    ) -> ResponseHandler:
        """Open a connection; see the base class.

        :raises TimeoutError: if the upstream does not accept it in time
        """
        async with RunningTimeout(CONNECT_TIMEOUT_MS):
            return await super()._create_connection(req, traces, timeout)


def open_socket(address: AddrInfoType) -> socket.socket:
    """:returns: a socket on which the kernel detects that the other end is gone"""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setblocking(False)  # noqa: FBT003 - interface of the standard library
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, N_PROBES)
    return opened


__all__ = ("UpstreamConnector", "open_socket")
