"""The agent's HTTP service."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.agent.session import AgentSession
from quetzaldeck.agent.status import build_status
from quetzaldeck.clock import Clock
from quetzaldeck.exchange import GatewayReport
from quetzaldeck.exchange.claim_messages import ClaimEnd, ClaimRequest
from quetzaldeck.http import (
    BodyError,
    HttpServiceBase,
    OpenConnections,
    RequestLimits,
    decode_body,
    json_response,
    metrics_response,
)
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.peers.hmac_channel import MAX_BODY_BYTES, PEER_PATH
from quetzaldeck.peers.seal import SEAL_HEADER

if TYPE_CHECKING:
    from aiohttp.typedefs import Middleware

    from quetzaldeck.agent.settings import AgentSettings

_REPORT_DECODER = JsonDecoder(GatewayReport)
_CLAIM_REQUEST_DECODER = JsonDecoder(ClaimRequest)
_CLAIM_END_DECODER = JsonDecoder(ClaimEnd)


class AgentService(HttpServiceBase):
    """Serves the gateway of this VM, peer agents and operators over HTTP.

    :param middlewares: of the HTTP server, e.g. to simulate partitions in tests
    """

    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self,
        settings: AgentSettings,
        *,
        clock: Clock | None = None,
        middlewares: tuple[Middleware, ...] = (),
        **kwargs: Any,
    ) -> None:
        clock = clock or Clock()
        super().__init__(
            settings.listen,
            open_connections=OpenConnections(settings.process_limits, clock),
            **kwargs,
        )
        self._settings = settings
        self._middlewares = middlewares
        self._session = AgentSession(settings, clock)
        self._session.metrics.connections.watch(self.open_connections)
        self.leaves_on_stop = True

    @property
    def session(self) -> AgentSession:
        """:returns: the session behind the service"""
        return self._session

    async def open(self) -> web.Application:
        """Start the session."""
        await self._session.__aenter__()
        application = web.Application(
            client_max_size=MAX_BODY_BYTES, middlewares=self._middlewares
        )
        application.add_routes(
            [
                web.post("/v1/exchange", self._exchange),
                web.post("/v1/claims", self._claim),
                web.post("/v1/claims/end", self._end_claim),
                web.post(PEER_PATH + "{kind}", self._answer_peer),
                web.get("/healthz", self._healthz),
                web.get("/readyz", self._readyz),
                web.get("/v1/status", self._status),
                web.get("/metrics", self._metrics),
            ]
        )
        return application

    def read_request_limits(self) -> RequestLimits:
        """:returns: the limits in the settings; see the base class"""
        connections = self._settings.connections
        return RequestLimits(
            self.max_body_bytes,
            max_empty_lines=connections.max_empty_lines,
            unread_answer_ms=connections.unread_answer_ms,
        )

    async def drain(self) -> int:
        """Wait for the gateway to finish, then leave the fleet.

        :returns: 0, because the gateway counts the aborted requests of callers
        """
        self._session.begin_leaving()
        await self._session.gateway_watch.wait_gone()
        await self._session.leave()
        return 0

    def abort_drain(self) -> None:
        """Stop waiting for the gateway."""
        self._session.gateway_watch.cancel_wait()

    async def start(self) -> None:
        """Start listening, then gossip, which announces the address to peers."""
        await super().start()
        await self._session.start_gossip(self.address)

    async def stop(self, exception: BaseException | None = None) -> None:
        """Leave the fleet, then stop listening."""
        if self.leaves_on_stop and exception is None:
            await self._session.leave()
        await super().stop(exception)

    async def close(self) -> None:
        """Close the session."""
        await self._session.__aexit__(None, None, None)

    async def _exchange(self, request: web.Request) -> web.Response:
        try:
            report = decode_body(await request.read(), _REPORT_DECODER)
        except BodyError as error:
            return json_response({"error": str(error)}, status=400)
        return json_response(self._session.exchange(report))

    async def _claim(self, request: web.Request) -> web.Response:
        try:
            claim_request = decode_body(await request.read(), _CLAIM_REQUEST_DECODER)
        except BodyError as error:
            return json_response({"error": str(error)}, status=400)
        return json_response(
            await self._session.claims.coordinator.decide(claim_request)
        )

    async def _end_claim(self, request: web.Request) -> web.Response:
        try:
            end = decode_body(await request.read(), _CLAIM_END_DECODER)
        except BodyError as error:
            return json_response({"error": str(error)}, status=400)
        await self._session.claims.coordinator.end(end)
        return json_response({})

    async def _answer_peer(self, request: web.Request) -> web.Response:
        answer = await self._session.channel.answer(
            request.match_info["kind"],
            request.headers.get(SEAL_HEADER, ""),
            await request.read(),
        )
        return web.Response(
            body=answer.body, status=answer.status, headers={SEAL_HEADER: answer.seal}
        )

    async def _healthz(self, request: web.Request) -> web.Response:
        return json_response({"status": "ok"})

    async def _readyz(self, request: web.Request) -> web.Response:
        is_ready = self._session.is_ready and not self._session.is_leaving
        status = 200 if is_ready else 503
        return json_response({"is_ready": is_ready}, status=status)

    async def _status(self, request: web.Request) -> web.Response:
        return json_response(build_status(self._session))

    async def _metrics(self, request: web.Request) -> web.Response:
        self._session.update_metrics()
        return metrics_response(self._session.metrics.registry)


__all__ = ("AgentService",)
