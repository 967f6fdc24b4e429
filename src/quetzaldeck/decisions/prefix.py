"""Hashes of prompt prefixes of increasing length, for prefix-cache affinity."""

from __future__ import annotations

import xxhash

CHARACTERS_PER_TOKEN = 4
"""Initial estimate of characters per token; corrected by the counts of engines."""

PREFIX_TOKENS = (256, 1_024, 4_096, 16_384, 65_536, 262_144)
"""Prefix lengths that are hashed: few, to keep prompts of a million tokens cheap."""


def hash_prefixes(prompt: str) -> tuple[int, ...]:
    """:returns: hashes of the prefixes of ``PREFIX_TOKENS`` lengths, shortest first"""
    hashes = []
    hasher = xxhash.xxh3_64()
    start = 0
    for n_tokens in PREFIX_TOKENS:
        end = n_tokens * CHARACTERS_PER_TOKEN
        if end > len(prompt):
            break
        hasher.update(prompt[start:end].encode("utf-8", "surrogatepass"))
        hashes.append(hasher.intdigest())
        start = end
    return tuple(hashes)


__all__ = ("CHARACTERS_PER_TOKEN", "PREFIX_TOKENS", "hash_prefixes")
