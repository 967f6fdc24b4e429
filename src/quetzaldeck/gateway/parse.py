"""Parses the JSON bodies of completion and chat calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Annotated, Any, Literal, TypedDict

import msgspec

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Failure, Reason
from quetzaldeck.upstreams import ChatMessage, CompletionCall

if TYPE_CHECKING:
    from quetzaldeck.gateway.settings import CallerBounds

MAX_NAME_LENGTH = 200
"""Maximum length of names, in characters, so that long ones do not fill the logs."""
_KNOWN_FIELDS = frozenset(
    (
        "adapter",
        "max_completion_tokens",
        "max_tokens",
        "messages",
        "model",
        "prompt",
        "quetzaldeck",
        "stream",
    )
)


_Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_LENGTH)]


class _TextPart(TypedDict):
    type: Literal["text"]
    text: str


class _ChatMessageFields(TypedDict):
    role: _Name
    content: str | list[_TextPart]


class _CommonFields(TypedDict, total=False):
    model: _Name
    adapter: _Name
    max_tokens: int
    max_completion_tokens: int
    stream: bool


class _CompletionFields(_CommonFields, total=False):
    prompt: str | Annotated[list[str], msgspec.Meta(min_length=1, max_length=1)]


class _ChatFields(_CommonFields, total=False):
    messages: list[_ChatMessageFields]


def parse_call(body: bytes, bounds: CallerBounds, *, is_chat: bool) -> CompletionCall:
    """Parse the body of a completion or chat call.

    :raises RequestError: if it is invalid, with the path of the first invalid field
    """
    try:
        raw = msgspec.json.decode(body, type=dict[str, Any])
        field_types = _ChatFields if is_chat else _CompletionFields
        fields: Any = msgspec.convert(raw, field_types)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
        raise _build_error(str(error)) from error
    required = "messages" if is_chat else "prompt"
    for name in ("model", required):
        if not fields.get(name):
            raise _build_error(f"`{name}` is missing or empty - at `$.{name}`")
    messages = tuple(_read_message(item) for item in fields.get("messages", ()))
    prompt = _read_prompt(fields, messages)
    if not prompt:
        raise _build_error(f"`{required}` has no text - at `$.{required}`")
    return CompletionCall(
        model=fields["model"],
        prompt=prompt,
        max_output_tokens=_read_max_output_tokens(fields, bounds),
        messages=messages,
        adapter=fields.get("adapter", ""),
        is_streamed=fields.get("stream", False),
        parameters={k: v for k, v in raw.items() if k not in _KNOWN_FIELDS},
    )


def _read_message(fields: _ChatMessageFields) -> ChatMessage:
    content = fields["content"]
    if not isinstance(content, str):
        content = "".join(part["text"] for part in content)
    return ChatMessage(fields["role"], content)


def _read_prompt(fields: dict[str, Any], messages: tuple[ChatMessage, ...]) -> str:
    if messages:
        return "\n".join(message.content for message in messages)
    prompt = fields["prompt"]
    return str(prompt if isinstance(prompt, str) else prompt[0])


def _read_max_output_tokens(fields: dict[str, Any], bounds: CallerBounds) -> int:
    for name in ("max_completion_tokens", "max_tokens"):
        value = fields.get(name)
        if value is None:
            continue
        if not 1 <= value <= bounds.max_output_tokens:
            raise _build_error(
                f"must be 1 to {bounds.max_output_tokens}, not {value} - at `$.{name}`"
            )
        return int(value)
    return bounds.default_output_tokens


def _build_error(detail: str) -> RequestError:
    return RequestError(Failure(Reason.MALFORMED_REQUEST, detail=detail))


__all__ = ("parse_call",)
