"""How logs and metrics name a request that is repeated."""

from __future__ import annotations


def format_fingerprint(fingerprint: int) -> str:
    """:returns: a fingerprint of 64 bits as 16 hexadecimal digits"""
    return f"{fingerprint:016x}"


__all__ = ("format_fingerprint",)
