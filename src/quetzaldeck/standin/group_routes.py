"""Routes of the engine protocol for engine groups."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from aiohttp import web

from quetzaldeck.engine_model import Sequence
from quetzaldeck.http import json_response
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.standin.answer_text import count_tokens
from quetzaldeck.upstreams.attempt import Owner
from quetzaldeck.upstreams.sse import DONE, encode_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.standin.engine_task import EngineTask, HeldSequence
    from quetzaldeck.upstreams.wire import ExportBody, PrefillBody, ReservationBody

    WaitForToken = Callable[
        [web.Request, web.StreamResponse, HeldSequence], Awaitable[None]
    ]

IMPORT_TIMEOUT_MS = 5_000.0
HTTP_TOO_LARGE = 413
HTTP_FAILED_DEPENDENCY = 424


class ImportFailedError(Exception):
    """A prompt part could not be imported from another engine."""


class GroupRoutes:
    """Handles reservations, prefills of prompt parts and exports of a stand-in engine.

    :param engine: returns the task of the engine's current incarnation
    :param address: returns the engine's base URL
    :param headers: returns the headers of streamed responses
    :param wait_for_token: waits for the next token of a sequence and sends keep-alives
    """

    def __init__(
        self,
        *,
        engine: Callable[[], EngineTask],
        address: Callable[[], str],
        headers: Callable[[], dict[str, str]],
        wait_for_token: WaitForToken,
    ) -> None:
        self._engine = engine
        self._address = address
        self._headers = headers
        self._wait_for_token = wait_for_token

    def list_routes(self) -> list[web.RouteDef]:
        """:returns: the routes to add to the application of the engine"""
        return [
            web.post("/v1/reservations", self._reserve),
            web.post("/v1/prefill", self._prefill),
            web.get("/v1/exports/{export_id}", self._read_export),
        ]

    async def read_imports(self, imports: list[ExportBody]) -> str:
        """Import prompt parts from the engines that hold them.

        :returns: their text, which stands for their KV cache
        :raises ImportFailedError: if an engine does not return its part
        """
        if not imports:
            return ""
        timeout = aiohttp.ClientTimeout(total=IMPORT_TIMEOUT_MS / 1_000)
        try:
            async with open_client(timeout=timeout) as client:
                parts = [await _read_part(client, part) for part in imports]
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise ImportFailedError(repr(error)) from error
        return "".join(parts)

    async def _reserve(self, request: web.Request) -> web.Response:
        body: ReservationBody = msgspec.json.decode(await request.read())
        group_allocations = self._engine().group_allocations
        if body["n_tokens"] > group_allocations.max_tokens:
            return json_response({"error": "never so much room"}, status=HTTP_TOO_LARGE)
        is_granted = group_allocations.reserve(
            body["reservation_id"],
            Owner(body["vm"], body["incarnation"]),
            body["n_tokens"],
            body["timeout_ms"],
        )
        return json_response({"is_granted": is_granted})

    async def _prefill(self, request: web.Request) -> web.StreamResponse:
        body: PrefillBody = msgspec.json.decode(await request.read())
        engine = self._engine()
        sequence = Sequence(
            body["attempt_id"],
            n_prompt_tokens=count_tokens(body["text"]),
            max_output_tokens=0,
            priority=body["priority"],
            reservation_id=body["reservation_id"],
            n_context_tokens=sum(part["n_tokens"] for part in body["imports"]),
        )
        if not engine.has_capacity(sequence):
            return json_response(
                {"error": "no such room"},
                status=HTTP_TOO_LARGE,
            )
        try:
            await self.read_imports(body["imports"])
        except ImportFailedError as error:
            return json_response({"error": str(error)}, status=HTTP_FAILED_DEPENDENCY)
        response = web.StreamResponse(headers=self._headers())
        await response.prepare(request)
        held_sequence = engine.submit(sequence, Owner(body["vm"], body["incarnation"]))
        try:
            await self._wait_for_token(request, response, held_sequence)
        finally:
            engine.cancel(sequence.sequence_id)
        await self._write_export(response, engine, body, sequence.n_prompt_tokens)
        return response

    async def _write_export(
        self,
        response: web.StreamResponse,
        engine: EngineTask,
        body: PrefillBody,
        n_tokens: int,
    ) -> None:
        export = engine.group_allocations.add_export(
            body["reservation_id"], body["text"], n_tokens
        )
        answer: ExportBody = {
            "export_id": export.export_id,
            "address": self._address(),
            "n_tokens": n_tokens,
        }
        await response.write(encode_event(msgspec.json.encode(answer)))
        await response.write(encode_event(DONE))

    async def _read_export(self, request: web.Request) -> web.Response:
        export = self._engine().group_allocations.get_export(
            request.match_info["export_id"]
        )
        if export is None:
            return json_response({"error": "no such export"}, status=404)
        return json_response({"text": export.text})


async def _read_part(client: aiohttp.ClientSession, part: ExportBody) -> str:
    url = f"{part['address']}/v1/exports/{part['export_id']}"
    async with client.get(url) as response:
        response.raise_for_status()
        body: dict[str, Any] = msgspec.json.decode(await response.read())
    text: str = body["text"]
    return text


__all__ = ("GroupRoutes", "ImportFailedError")
