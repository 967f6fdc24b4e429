"""Answers of the stand-in engines, which depend on nothing but the prompt."""

from __future__ import annotations

import xxhash

_N_HEX_DIGITS = 8


def digest_prompt(prompt: str) -> str:
    """:returns: short digest of ``prompt``, contained in each token of the answer"""
    return xxhash.xxh3_64_hexdigest(prompt.encode("utf-8", "surrogatepass"))[
        :_N_HEX_DIGITS
    ]


def token_text(digest: str, index: int) -> str:
    """:returns: text of the token at ``index`` of the answer, from 0"""
    return f"{digest}.{index} "


def answer_text(prompt: str, n_tokens: int) -> str:
    """:returns: the complete answer to ``prompt``, for callers that check answers"""
    digest = digest_prompt(prompt)
    return "".join(token_text(digest, index) for index in range(n_tokens))


def count_tokens(prompt: str) -> int:
    """:returns: number of tokens of ``prompt``; for stand-ins each word is one token"""
    return prompt.count(" ") + 1


__all__ = ("answer_text", "count_tokens", "digest_prompt", "token_text")
