"""Identifies a request that is sent again, by what an upstream would run."""

from __future__ import annotations

import xxhash

LENGTH_BYTES = 8


def compute_fingerprint(*parts: str | bytes) -> int:
    """Hash what makes a request the same one when it is sent again.

    Each part is hashed with its length, so that parts of other requests that differ in
    where one ends and the next begins give another hash.

    :param parts: such as customer, method, path and body
    :returns: a hash of 64 bits
    """
    digest = xxhash.xxh3_64()
    for part in parts:
        data = part.encode() if isinstance(part, str) else part
        digest.update(len(data).to_bytes(LENGTH_BYTES))
        digest.update(data)
    return digest.intdigest()


def format_fingerprint(fingerprint: int) -> str:
    """:returns: a fingerprint as 16 hexadecimal digits, as logs and metrics name it"""
    return f"{fingerprint:016x}"


__all__ = ("compute_fingerprint", "format_fingerprint")
