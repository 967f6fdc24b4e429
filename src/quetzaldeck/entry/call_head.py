"""What the headers of a caller's request state."""

from __future__ import annotations

from typing import NamedTuple


class PromptSize(NamedTuple):
    """Token counts of a prompt and its output.

    :param n_prompt_tokens: tokens of the prompt
    :param max_output_tokens: limit on the generated tokens
    :param expected_output_tokens: the caller's estimate; ``None`` if it gives none
    """

    n_prompt_tokens: int
    max_output_tokens: int
    expected_output_tokens: int | None = None


class CallHead(NamedTuple):
    """The head of one request.

    :param call_id: the caller's id of this attempt; upstreams echo it
    :param api_key: ``None`` if the caller sent none
    :param deadline_ms: how long the caller will wait; ``None`` if it does not say
    :param prompt: ``None`` if the request carries no prompt
    :param last_event_id: event after which to resume a stream; ``None`` for a new one
    :param shared_parts: ids of the parts of the prompt that other prompts may contain,
        in order: all but the last
    """

    call_id: str
    api_key: str | None
    deadline_ms: float | None
    prompt: PromptSize | None = None
    last_event_id: str | None = None
    shared_parts: tuple[str, ...] = ()


__all__ = ("CallHead", "PromptSize")
