"""Adapters for upstreams (engines and plain services), one for each protocol."""

from __future__ import annotations

from quetzaldeck.upstreams.api import (
    EngineUpstream,
    ServiceUpstream,
    Upstream,
    UpstreamTimeouts,
    engine_protocols,
    service_protocols,
)
from quetzaldeck.upstreams.attempt import (
    Attempt,
    Chunk,
    Command,
    Export,
    Owner,
    PrefillPart,
    Reservation,
    RunningSequence,
)
from quetzaldeck.upstreams.call import (
    ChatMessage,
    CompletionCall,
    ServiceAnswer,
    ServiceCall,
)
from quetzaldeck.upstreams.errors import UpstreamError
from quetzaldeck.upstreams.http_service import HttpService
from quetzaldeck.upstreams.openai_engine import OpenAiEngine

__all__ = (
    "Attempt",
    "ChatMessage",
    "Chunk",
    "Command",
    "CompletionCall",
    "EngineUpstream",
    "Export",
    "HttpService",
    "OpenAiEngine",
    "Owner",
    "PrefillPart",
    "Reservation",
    "RunningSequence",
    "ServiceAnswer",
    "ServiceCall",
    "ServiceUpstream",
    "Upstream",
    "UpstreamError",
    "UpstreamTimeouts",
    "engine_protocols",
    "service_protocols",
)
