"""The query of a request to explain a placement."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Mapping

MAX_TEXT_LENGTH = 1_024
"""Longest name of a customer, or host with path: names are far shorter."""

MAX_TOKENS = 1 << 40
"""Largest token count, as in the headers of callers."""


class ExplainQuery(NamedTuple):
    """The request whose placement is to be explained.

    :param customer: ``""`` for a route that needs no key
    """

    host: str
    path: str
    customer: str
    n_prompt_tokens: int
    max_output_tokens: int


def read_explain_query(query: Mapping[str, str]) -> ExplainQuery:
    """Read the query of a URL.

    :raises ValueError: naming the parameter that is missing or not valid
    """
    route = _read_text(query, "route")
    host, slash, path = route.partition("/")
    if not host or not slash:
        msg = f"route must be a host and a path, as in gym.example/plan/, not {route!r}"
        raise ValueError(msg)
    return ExplainQuery(
        host,
        f"/{path}",
        _read_text(query, "customer"),
        _read_tokens(query, "prompt_tokens", min_tokens=1),
        _read_tokens(query, "output_tokens", min_tokens=0),
    )


def _read_text(query: Mapping[str, str], name: str) -> str:
    text = query.get(name, "")
    if len(text) > MAX_TEXT_LENGTH:
        msg = f"{name} must not be longer than {MAX_TEXT_LENGTH} characters"
        raise ValueError(msg)
    return text


def _read_tokens(query: Mapping[str, str], name: str, *, min_tokens: int) -> int:
    text = query.get(name, "")
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_TOKENS))
    if not is_number or not min_tokens <= int(text) <= MAX_TOKENS:
        msg = (
            f"{name} must be a whole number of at least {min_tokens}, not {text[:40]!r}"
        )
        raise ValueError(msg)
    return int(text)


__all__ = ("ExplainQuery", "read_explain_query")
