"""Requests to engines and their responses, independent of the protocol."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.placement.cache_events import CacheCursor, CacheEvents
from quetzaldeck.upstreams.call import CompletionCall


class Owner(NamedTuple):
    """Owner of a sequence, a reservation or an export.

    :param vm: id of the VM
    :param incarnation: id of the incarnation of the process on it
    """

    vm: str
    incarnation: str


class Export(NamedTuple):
    """A prefilled prompt part that an engine holds for other engines.

    :param address: base URL of the engine that holds it
    :param n_tokens: number of prompt tokens in it
    """

    export_id: str
    address: str
    n_tokens: int


class Reservation(NamedTuple):
    """A request for memory of an engine, made before any prompt is sent to it.

    :param n_tokens: memory in tokens
    :param timeout_ms: time after which the engine releases it on its own
    """

    reservation_id: str
    owner: Owner
    n_tokens: int
    timeout_ms: float


class PrefillPart(NamedTuple):
    """A request to prefill a prompt part under a reservation.

    :param imports: the prompt parts before it, in order
    """

    attempt_id: str
    owner: Owner
    reservation_id: str
    model: str
    adapter: str
    priority: int
    timeout_ms: float
    text: str
    imports: tuple[Export, ...] = ()


class Attempt(NamedTuple):
    """One attempt to run a call on an engine.

    :param delivered: text that the caller already has; the engine continues after it
    :param timeout_ms: time that remains until the deadline
    :param reservation_id: reservation to run under, if any
    :param imports: prompt parts that other engines hold, in order
    :param cache_cursor: the last cache event that is known of the engine
    :param prompt_part: the rest of the prompt, after the imports; ``None``: the whole
        prompt
    """

    attempt_id: str
    owner: Owner
    call: CompletionCall
    priority: int
    timeout_ms: float
    delivered: str = ""
    n_delivered_tokens: int = 0
    reservation_id: str = ""
    imports: tuple[Export, ...] = ()
    prompt_part: str | None = None
    cache_cursor: CacheCursor = CacheCursor()


class Chunk(NamedTuple):
    """A chunk of a streamed answer.

    :param offset: position of ``text`` in the whole answer, in characters
    :param n_output_tokens: tokens generated so far in the whole answer
    :param n_prompt_tokens: number of prompt tokens as counted by the engine
    :param finish_reason: set on the last chunk only
    :param cache_events: changes of the engine's prefix cache, on the first chunk
    """

    attempt_id: str
    offset: int
    text: str
    n_output_tokens: int = 0
    n_prompt_tokens: int = 0
    finish_reason: str | None = None
    cache_events: CacheEvents | None = None


class RunningSequence(NamedTuple):
    """An allocation of an engine: a sequence, a reservation or an export.

    :param attempt_id: id by which it is cancelled
    :param kind: ``sequence``, ``reservation`` or ``export``; the memory of an export is
        part of its reservation
    """

    attempt_id: str
    owner: Owner
    n_kv_tokens: int
    age_ms: float
    kind: str = "sequence"


class Command(NamedTuple):
    """A management command to an engine.

    :param action: ``load_model``, ``unload_model``, ``load_adapter`` or
        ``change_role``
    :param fencing_token: engines that check it refuse a token smaller than the last one
    """

    action: str
    model: str
    version: str
    fencing_token: tuple[int, ...]
    adapter: str = ""
    role: str = ""


__all__ = (
    "Attempt",
    "Chunk",
    "Command",
    "Export",
    "Owner",
    "PrefillPart",
    "Reservation",
    "RunningSequence",
)
