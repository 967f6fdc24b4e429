"""Label of the queue in which a request competes with others."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.request import MAX_MEDIUM_TOKENS

if TYPE_CHECKING:
    from quetzaldeck.decisions.request import Request


def share_target(request: Request) -> str:
    """:returns: target, priority and, for long prompts, the class

    Requests with different labels never compete for their order: what a customer sent
    at a low priority does not delay its urgent requests.
    """
    target = f"service {request.service}" if request.service else request.model
    is_long = request.n_prompt_tokens > MAX_MEDIUM_TOKENS
    return f"{target}/{request.priority}{'/long' if is_long else ''}"


__all__ = ("share_target",)
