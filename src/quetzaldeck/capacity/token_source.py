"""An engine stub for measurements that streams as many tokens as a request asks for."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
from aiohttp import web

from quetzaldeck.http import HttpServiceBase, json_response
from quetzaldeck.http.address import ListenAddress
from quetzaldeck.upstreams.sse import DONE, encode_event

MAX_BODY_BYTES = 64 << 20
TOKEN = "token "


class TokenSource(HttpServiceBase):
    """Implements the engine protocol at negligible cost of its own.

    :param delay_ms: delay of the first token
    :param token_interval_ms: delay between tokens; 0 sends them back to back
    """

    max_body_bytes = MAX_BODY_BYTES

    def __init__(
        self, *, delay_ms: float = 0.0, token_interval_ms: float = 0.0
    ) -> None:
        super().__init__(ListenAddress())
        self._delay_ms = delay_ms
        self._token_interval_ms = token_interval_ms

    async def open(self) -> web.Application:
        """:returns: the application with the engine's routes"""
        application = web.Application(client_max_size=MAX_BODY_BYTES)
        application.add_routes(
            [
                web.post("/v1/completions", self._complete),
                web.post("/v1/cancel", self._cancel),
                web.get("/v1/load", self._load),
            ]
        )
        return application

    async def close(self) -> None:
        """Do nothing: there is no state to clean up."""

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        attempt_id = body.get("quetzaldeck", {}).get("attempt_id", "")
        n_tokens = body["max_tokens"]
        del body
        response = web.StreamResponse(headers={"Content-Type": "text/event-stream"})
        await response.prepare(request)
        await asyncio.sleep(self._delay_ms / 1_000)
        for index in range(n_tokens):
            is_last = index + 1 == n_tokens
            await response.write(_encode_token(attempt_id, index, is_last=is_last))
            if self._token_interval_ms:
                await asyncio.sleep(self._token_interval_ms / 1_000)
        await response.write(encode_event(DONE))
        return response

    async def _cancel(self, request: web.Request) -> web.Response:
        return json_response({})

    async def _load(self, request: web.Request) -> web.Response:
        load: dict[str, Any] = {
            "incarnation": "1",
            "sequence": 1,
            "age_ms": 0.0,
            "n_running": 0,
            "n_waiting": 0,
            "n_kv_tokens_used": 0,
            "n_prefill_tokens": 0,
            "models": [],
        }
        return json_response(load)


def _encode_token(attempt_id: str, index: int, *, is_last: bool) -> bytes:
    chunk = {
        "id": attempt_id,
        "choices": [
            {"index": 0, "text": TOKEN, "finish_reason": "length" if is_last else None}
        ],
        "offset": index * len(TOKEN),
        "n_output_tokens": index + 1,
        "n_prompt_tokens": 1,
    }
    return encode_event(msgspec.json.encode(chunk))


__all__ = ("TokenSource",)
