"""Builds the responses to callers: OpenAI-compatible bodies, chunks and errors."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING, Any

from quetzaldeck.http import json_response
from quetzaldeck.outcomes import REASON_INFO, build_error_body

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.gateway.answer import Answer
    from quetzaldeck.outcomes import Failure
    from quetzaldeck.upstreams import CompletionCall

REQUEST_ID_HEADER = "X-Request-Id"


def error_response(failure: Failure, request_id: str) -> web.Response:
    """:returns: the HTTP response for a refusal or failure"""
    headers = {REQUEST_ID_HEADER: request_id}
    effective_retry_after_ms = failure.effective_retry_after_ms
    if effective_retry_after_ms is not None:
        headers["Retry-After"] = str(math.ceil(effective_retry_after_ms / 1_000))
    return json_response(
        build_error_body(failure, request_id),
        status=REASON_INFO[failure.reason].http_status,
        headers=headers,
    )


def build_chunk(
    call: CompletionCall, request_id: str, text: str, finish_reason: str | None
) -> dict[str, Any]:
    """:returns: the body of one chunk of a streamed answer"""
    if call.is_chat:
        choice: dict[str, Any] = {"delta": {"content": text}}
    else:
        choice = {"text": text}
    return {
        "id": request_id,
        "object": "chat.completion.chunk" if call.is_chat else "text_completion",
        "model": call.model,
        "choices": [{"index": 0, "finish_reason": finish_reason, **choice}],
    }


def build_answer(
    call: CompletionCall, request_id: str, answer: Answer
) -> dict[str, Any]:
    """:returns: the response body of a call that is not streamed"""
    if call.is_chat:
        choice: dict[str, Any] = {
            "message": {"role": "assistant", "content": answer.text}
        }
    else:
        choice = {"text": answer.text}
    return {
        "id": request_id,
        "object": "chat.completion" if call.is_chat else "text_completion",
        "model": call.model,
        "choices": [{"index": 0, "finish_reason": answer.finish_reason, **choice}],
        "usage": {
            "prompt_tokens": answer.n_prompt_tokens,
            "completion_tokens": answer.n_output_tokens,
            "total_tokens": answer.n_prompt_tokens + answer.n_output_tokens,
        },
    }


__all__ = ("REQUEST_ID_HEADER", "build_answer", "build_chunk", "error_response")
