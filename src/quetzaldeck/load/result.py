"""Result of one call of the load generator."""

from __future__ import annotations

from enum import StrEnum
from typing import NamedTuple


class Verdict(StrEnum):
    """Outcome of a call, judged by what its caller received.

    ``LOST``: no complete answer and no error; ``MIXED_UP``: an answer that does not
    belong to the call.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    FAILED = "failed"
    LOST = "lost"
    MIXED_UP = "mixed_up"


class Result(NamedTuple):
    """Result of one call.

    :param kind: name of the kind of call
    :param ttft_ms: time to first token, ``None`` if no token arrived
    :param total_ms: time to the end of the call
    :param reason: reason code of a refusal or failure
    :param ran: whether the call ran, according to the refusal or failure
    :param key: idempotency key, if the call had one
    :param detail: error message of a refusal, a failure or a lost connection
    """

    kind: str
    verdict: Verdict
    n_prompt_tokens: int
    ttft_ms: float | None
    total_ms: float
    reason: str = ""
    ran: str = ""
    key: str = ""
    detail: str = ""


__all__ = ("Result", "Verdict")
