"""Factories for requests and bundles in tests of the decision modules."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING, Any

import pytest

from quetzaldeck.bundle import Bundle, UpstreamSpec
from quetzaldeck.decisions import Request

if TYPE_CHECKING:
    from collections.abc import Callable

    MakeRequest = Callable[..., Request]
    MakeBundle = Callable[..., Bundle]


def make_request_factory() -> MakeRequest:
    """:returns: a function that makes requests with unique ids"""
    numbers = itertools.count()

    def make(n_prompt_tokens: int = 1_000, **fields: Any) -> Request:
        request = Request(
            request_id=f"r{next(numbers)}",
            customer="gym",
            model="m",
            n_prompt_tokens=n_prompt_tokens,
            max_output_tokens=10,
            priority=5,
            arrived_ms=0.0,
            deadline_ms=1e9,
        )
        return request._replace(**fields)

    return make


@pytest.fixture
def make_request() -> MakeRequest:
    """:returns: a function that makes requests with unique ids"""
    return make_request_factory()


@pytest.fixture
def make_bundle() -> MakeBundle:
    """:returns: a function that makes a bundle with engines ``e0``, ``e1``, ..."""

    def make(n_engines: int = 10, *, kv_tokens: int = 400_000, **fields: Any) -> Bundle:
        upstreams = tuple(
            UpstreamSpec(
                f"e{index}", "http://127.0.0.1:1", models=("m",), kv_tokens=kv_tokens
            )
            for index in range(n_engines)
        )
        return Bundle(1, 1, upstreams=upstreams, **fields)

    return make
