"""JSON messages of the engine protocol ``openai``; see docs/UPSTREAM.md."""

from __future__ import annotations

from typing import Annotated, Any, NotRequired, TypedDict

import msgspec

MAX_COUNT = 1 << 53
"""Largest whole number that a float holds exactly; larger ones overflow later."""

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]


class ControlFields(TypedDict):
    """Field ``quetzaldeck`` of a completion request.

    ``offset`` is the number of characters of the answer that the caller already has.
    """

    attempt_id: str
    vm: str
    incarnation: str
    priority: int
    timeout_ms: float
    adapter: str
    offset: int
    n_delivered_tokens: int
    reservation_id: NotRequired[str]
    imports: NotRequired[list[ExportBody]]
    cache_cursor: NotRequired[CacheCursorBody]


class CacheCursorBody(TypedDict):
    """The last cache event that the client has received."""

    incarnation: str
    sequence: int


class CacheEventBody(TypedDict):
    """One change of the prefix cache; ``kind`` is ``cached`` or ``evicted``."""

    sequence: int
    kind: str
    prefix_hash: int


class CacheEventsBody(TypedDict):
    """Changes of the prefix cache after the client's cursor, oldest first."""

    incarnation: str
    events: list[CacheEventBody]


class ExportBody(TypedDict):
    """Reference to a prefilled prompt part that an engine holds."""

    export_id: str
    address: str
    n_tokens: Count


class ReservationBody(TypedDict):
    """Body of ``POST /v1/reservations``."""

    reservation_id: str
    vm: str
    incarnation: str
    n_tokens: int
    timeout_ms: float


class SequenceBody(TypedDict):
    """One entry of the response of ``GET /v1/sequences``."""

    attempt_id: str
    vm: str
    incarnation: str
    n_kv_tokens: Count
    age_ms: float
    kind: str


class ReservationState(TypedDict):
    """Response of ``POST /v1/reservations``."""

    is_granted: bool


class PrefillBody(TypedDict):
    """Body of ``POST /v1/prefill``."""

    attempt_id: str
    vm: str
    incarnation: str
    reservation_id: str
    model: str
    adapter: str
    priority: int
    timeout_ms: float
    text: str
    imports: list[ExportBody]


class CompletionBody(TypedDict):
    """Body of ``POST /v1/completions``."""

    model: str
    prompt: str
    max_tokens: int
    stream: bool
    quetzaldeck: ControlFields


class ChunkChoice(TypedDict):
    """The only choice of a streamed chunk."""

    index: int
    text: str
    finish_reason: str | None


class ChunkBody(TypedDict):
    """One chunk of a streamed response."""

    id: str
    choices: list[ChunkChoice]
    offset: Count
    n_output_tokens: NotRequired[Count]
    n_prompt_tokens: NotRequired[Count]
    cache_events: NotRequired[CacheEventsBody]


class CancelBody(TypedDict):
    """Body of ``POST /v1/cancel``."""

    attempt_id: str


class LoadBody(TypedDict):
    """Response of ``GET /v1/load``."""

    incarnation: str
    sequence: Count
    age_ms: float
    n_running: Count
    n_waiting: Count
    n_kv_tokens_used: Count
    n_prefill_tokens: Count
    models: list[str]
    role: NotRequired[str]


class CommandBody(TypedDict):
    """Body of ``POST /v1/commands``."""

    action: str
    model: str
    version: str
    adapter: str
    role: str
    fencing_token: list[int]
    vm: str
    incarnation: str


JsonObject = dict[str, Any]

__all__ = (
    "CacheCursorBody",
    "CacheEventBody",
    "CacheEventsBody",
    "CancelBody",
    "ChunkBody",
    "ChunkChoice",
    "CommandBody",
    "CompletionBody",
    "ControlFields",
    "ExportBody",
    "JsonObject",
    "LoadBody",
    "PrefillBody",
    "ReservationBody",
    "ReservationState",
    "SequenceBody",
)
