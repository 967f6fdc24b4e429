"""Builds the request bodies for OpenAI-compatible engines."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from quetzaldeck.upstreams.attempt import Attempt, Export, PrefillPart
    from quetzaldeck.upstreams.wire import ExportBody, PrefillBody


def build_completion(attempt: Attempt) -> dict[str, Any]:
    """:returns: body of a completion request"""
    call = attempt.call
    body: dict[str, Any] = {
        **call.parameters,
        "model": call.model,
        "max_tokens": call.max_output_tokens,
        "stream": True,
        "quetzaldeck": {
            "attempt_id": attempt.attempt_id,
            "vm": attempt.owner.vm,
            "incarnation": attempt.owner.incarnation,
            "priority": attempt.priority,
            "timeout_ms": attempt.timeout_ms,
            "adapter": call.adapter,
            "offset": len(attempt.delivered),
            "n_delivered_tokens": attempt.n_delivered_tokens,
            "reservation_id": attempt.reservation_id,
            "imports": _build_imports(attempt.imports),
            "cache_cursor": attempt.cache_cursor._asdict(),
        },
    }
    if attempt.prompt_part is not None:
        body["prompt"] = attempt.prompt_part + attempt.delivered
    elif call.is_chat:
        messages = [message._asdict() for message in call.messages]
        if attempt.delivered:
            messages.append({"role": "assistant", "content": attempt.delivered})
        body["messages"] = messages
    else:
        body["prompt"] = call.prompt + attempt.delivered
    return body


def build_prefill(part: PrefillPart) -> PrefillBody:
    """:returns: body of the request to prefill a prompt part"""
    return {
        "attempt_id": part.attempt_id,
        "vm": part.owner.vm,
        "incarnation": part.owner.incarnation,
        "reservation_id": part.reservation_id,
        "model": part.model,
        "adapter": part.adapter,
        "priority": part.priority,
        "timeout_ms": part.timeout_ms,
        "text": part.text,
        "imports": _build_imports(part.imports),
    }


def _build_imports(imports: tuple[Export, ...]) -> list[ExportBody]:
    return [
        {
            "export_id": export.export_id,
            "address": export.address,
            "n_tokens": export.n_tokens,
        }
        for export in imports
    ]


__all__ = ("build_completion", "build_prefill")
