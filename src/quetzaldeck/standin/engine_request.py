"""Converts requests to a stand-in engine into input of the engine model."""

from __future__ import annotations

from typing import Any

from quetzaldeck.decisions.prefix import hash_prefixes
from quetzaldeck.engine_model import Sequence
from quetzaldeck.standin.answer_text import count_tokens


def build_sequence(body: dict[str, Any], prompt: str, delivered: str) -> Sequence:
    """:returns: the sequence for a completion request

    :param delivered: part of the answer that the caller has already received
    """
    control = body["quetzaldeck"]
    imports = control.get("imports", [])
    return Sequence(
        control["attempt_id"],
        n_prompt_tokens=count_tokens(prompt + delivered),
        max_output_tokens=body["max_tokens"] - control["n_delivered_tokens"],
        priority=control["priority"],
        prefix_hashes=() if imports else hash_prefixes(prompt),
        reservation_id=control.get("reservation_id", ""),
        n_context_tokens=sum(part["n_tokens"] for part in imports),
    )


def split_delivered(body: dict[str, Any], offset: int) -> tuple[str, str]:
    """:returns: the prompt, and the part of the answer that the request repeats

    :param offset: number of characters of the answer that the caller has already
        received
    """
    if "messages" not in body:
        prompt: str = body["prompt"]
        n_prompt = len(prompt) - offset
        return prompt[:n_prompt], prompt[n_prompt:]
    contents = [message["content"] for message in body["messages"]]
    delivered = contents.pop() if offset else ""
    return "\n".join(contents), delivered


__all__ = ("build_sequence", "split_delivered")
