"""Calls of callers, and answers of plain services, as adapters handle them."""

from __future__ import annotations

from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple


class ChatMessage(NamedTuple):
    """One message of a chat call."""

    role: str
    content: str


class CompletionCall(NamedTuple):
    """A completion or chat call.

    :param prompt: the prompt; for a chat call, the joined messages
    :param messages: messages of a chat call; empty for a completion call
    :param parameters: other parameters, passed to the engine unchanged
    """

    model: str
    prompt: str
    max_output_tokens: int
    messages: tuple[ChatMessage, ...] = ()
    adapter: str = ""
    is_streamed: bool = False
    parameters: dict[str, Any] = {}  # noqa: RUF012 - never written to

    @property
    def is_chat(self) -> bool:
        """:returns: whether the caller used the chat endpoint"""
        return bool(self.messages)


class ServiceCall(NamedTuple):
    """A call of a plain service.

    :param path: path without the service's prefix, with the query string
    :param headers: headers to forward
    :param reserve: waits for memory for more bytes of the answer; ``None``: there is
        enough
    """

    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    reserve: Callable[[int], Coroutine[Any, Any, None]] | None = None


class ServiceAnswer(NamedTuple):
    """Answer of a plain service."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


__all__ = ("ChatMessage", "CompletionCall", "ServiceAnswer", "ServiceCall")
