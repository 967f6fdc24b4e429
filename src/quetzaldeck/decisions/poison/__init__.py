"""Detects requests, and parts of prompts, that crash the engines that run them."""

from __future__ import annotations

from quetzaldeck.decisions.poison.blocked_request import BlockedRequest
from quetzaldeck.decisions.poison.bounds import PoisonBounds
from quetzaldeck.decisions.poison.crash_record import (
    CrashRecord,
    decode_crash_record,
    encode_crash_record,
)
from quetzaldeck.decisions.poison.fingerprint import (
    compute_fingerprint,
    compute_part_fingerprint,
    format_fingerprint,
    is_part,
)
from quetzaldeck.decisions.poison.liveness import Liveness
from quetzaldeck.decisions.poison.registry import PoisonRegistry
from quetzaldeck.decisions.poison.sighting import (
    CrashSighting,
    RunSighting,
    RunState,
)
from quetzaldeck.decisions.poison.upstream_ends import PresumedCrash
from quetzaldeck.decisions.poison.verdicts import Verdict

__all__ = (
    "BlockedRequest",
    "CrashRecord",
    "CrashSighting",
    "Liveness",
    "PoisonBounds",
    "PoisonRegistry",
    "PresumedCrash",
    "RunSighting",
    "RunState",
    "Verdict",
    "compute_fingerprint",
    "compute_part_fingerprint",
    "decode_crash_record",
    "encode_crash_record",
    "format_fingerprint",
    "is_part",
)
