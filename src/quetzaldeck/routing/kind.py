"""Kinds of request, which determine what may be retried."""

from __future__ import annotations

from enum import StrEnum


class RequestKind(StrEnum):
    """Kinds of request: answered by a stream, repeatable, or not repeatable."""

    STREAMING = "streaming"
    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"


__all__ = ("RequestKind",)
