"""Stand-in for a plain service, which counts executions by idempotency key."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING, Any

import xxhash
from aiohttp import web

from quetzaldeck.config import load_data
from quetzaldeck.http import json_response
from quetzaldeck.standin.base import StandinBase
from quetzaldeck.standin.endless import pour
from quetzaldeck.standin.faults import ServiceFaults
from quetzaldeck.standin.statements import build_refusal, build_statement_headers

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.standin.settings import ServiceSettings


class PlainServiceStandin(StandinBase):
    """Answers calls on all paths and counts its executions.

    :param on_execution: called with the idempotency key, the digest of the body and
        the request id of each execution
    """

    def __init__(
        self,
        settings: ServiceSettings,
        *,
        on_execution: Callable[[str, str, str], None] | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(settings.listen, **kwargs)
        self._settings = settings
        self._on_execution = on_execution
        self._executions: Counter[str] = Counter()
        self.faults = settings.faults

    @property
    def executions(self) -> dict[str, int]:
        """:returns: number of executions of each idempotency key"""
        return dict(self._executions)

    async def open(self) -> web.Application:
        """Build the application."""
        return self.build_application(
            [
                web.get("/standin/executions", self._list_executions),
                web.route("*", "/{path:.*}", self._run),
            ]
        )

    async def set_faults(self, data: Any) -> None:
        """Replace the persistent faults; see :meth:`StandinBase.set_faults`."""
        self.faults = load_data(data, ServiceFaults, "faults")

    async def _run(self, request: web.Request) -> web.Response:
        body = await request.read()
        faults = self.faults
        if faults.n_crashes_before:
            self.faults = faults._replace(n_crashes_before=faults.n_crashes_before - 1)
            return await self._abort(request)
        refusal = build_refusal(faults)
        if refusal is not None:
            return refusal
        key = request.headers.get("Idempotency-Key", "")
        digest = xxhash.xxh3_64_hexdigest(body)
        self._executions[key] += 1
        if self._on_execution is not None:
            request_id = request.headers.get("X-Request-Id", "")
            self._on_execution(key, digest, request_id)
        if faults.endless:
            await pour(faults.endless, request)
            return await self._abort(request)
        duration_ms = self._settings.duration_ms + faults.extra_duration_ms
        await asyncio.sleep(duration_ms / 1_000)
        if faults.n_crashes_after:
            self.faults = faults._replace(n_crashes_after=faults.n_crashes_after - 1)
            return await self._abort(request)
        return json_response(
            {"key": key, "path": request.path, "digest": digest},
            headers=build_statement_headers(faults),
        )

    async def _abort(self, request: web.Request) -> web.Response:
        """Abort the connection of a call, like a process that crashes."""
        assert request.transport is not None
        request.transport.abort()
        return json_response({})

    async def _list_executions(self, request: web.Request) -> web.Response:
        return json_response(self.executions)


__all__ = ("PlainServiceStandin",)
