"""Identifies what may crash upstreams: whole requests, and parts of their prompts.

VMs exchange these numbers. Those of parts are negative.
"""

from __future__ import annotations

import xxhash

LENGTH_BYTES = 8
MAX_PART_NUMBER = 1 << 63


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


def compute_part_fingerprint(part: str) -> int:
    """Identify a part of a prompt.

    :param part: its id; one in hexadecimal can be read off the result
    """
    try:
        number = int(part, 16)
    except ValueError:
        number = 0
    if not 0 < number <= MAX_PART_NUMBER:
        number = 1 + xxhash.xxh3_64_intdigest(part.encode()) % MAX_PART_NUMBER
    return -number


def is_part(fingerprint: int) -> bool:
    """:returns: whether a fingerprint is that of a part of a prompt"""
    return fingerprint < 0


def format_fingerprint(fingerprint: int) -> str:
    """:returns: a fingerprint in hexadecimal digits, as logs and metrics name it"""
    if is_part(fingerprint):
        return f"part-{-fingerprint:x}"
    return f"{fingerprint:016x}"


__all__ = (
    "compute_fingerprint",
    "compute_part_fingerprint",
    "format_fingerprint",
    "is_part",
)
