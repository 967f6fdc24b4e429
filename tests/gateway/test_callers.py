"""Tests of the interface for callers: bodies, limits and error responses."""

from __future__ import annotations

import asyncio
import json
from contextlib import asynccontextmanager, suppress
from typing import TYPE_CHECKING, Any
from urllib.parse import urlsplit

import aiohttp
import pytest
import uvloop
from tests.support.fleet import API_KEY, MODEL, Fleet, FleetSettings

from quetzaldeck.engine_model import EngineProfile
from quetzaldeck.gateway.settings import CallerBounds
from quetzaldeck.outcomes import Reason
from quetzaldeck.standin.answer_text import answer_text

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Coroutine

AUTHORIZATION = {"Authorization": f"Bearer {API_KEY}"}
ERROR_KEYS = {"type", "reason", "ran", "message", "retry_after_ms", "request_id"}
BOUNDS = CallerBounds(
    max_body_bytes=100_000,
    body_idle_ms=200,
    request_head_ms=200,
    silence_ms=100,
)


def run(
    test: Callable[[Fleet, aiohttp.ClientSession], Coroutine[Any, Any, None]],
    settings: FleetSettings | None = None,
) -> None:
    async def bounded() -> None:
        chosen = settings or FleetSettings(n_vms=1, n_engines=1, callers=BOUNDS)
        async with (
            asyncio.timeout(30),
            Fleet(chosen) as fleet,
            aiohttp.ClientSession(fleet.gateway_addresses[0]) as client,
        ):
            await test(fleet, client)

    uvloop.run(bounded())


async def read_refusal(response: aiohttp.ClientResponse) -> tuple[int, str, str]:
    body = await response.json()
    assert set(body["error"]) == ERROR_KEYS
    assert body["error"]["request_id"] == response.headers["X-Request-Id"]
    return response.status, body["error"]["reason"], body["error"]["ran"]


def build_chat(content: Any) -> dict[str, Any]:
    return {"model": MODEL, "messages": [{"role": "user", "content": content}]}


@pytest.mark.parametrize(
    ("path", "body", "status", "reason"),
    [
        ("completions", b"{", 400, Reason.MALFORMED_REQUEST),
        ("completions", b"\xff\xfe", 400, Reason.MALFORMED_REQUEST),
        ("completions", b"[" * 50_000, 400, Reason.MALFORMED_REQUEST),
        ("completions", b"{}", 400, Reason.MALFORMED_REQUEST),
        ("completions", {"model": MODEL}, 400, Reason.MALFORMED_REQUEST),
        (
            "completions",
            {"model": MODEL, "prompt": [1, 2]},
            400,
            Reason.MALFORMED_REQUEST,
        ),
        (
            "completions",
            {"model": MODEL, "prompt": "p", "max_tokens": 0},
            400,
            Reason.MALFORMED_REQUEST,
        ),
        (
            "completions",
            {"model": "m" * 300, "prompt": "p"},
            400,
            Reason.MALFORMED_REQUEST,
        ),
        ("completions", {"model": "other", "prompt": "p"}, 404, Reason.UNKNOWN_MODEL),
        (
            "completions",
            {"model": MODEL, "prompt": "p", "adapter": "other"},
            404,
            Reason.UNKNOWN_MODEL,
        ),
        ("completions", b"x" * 100_001, 413, Reason.BODY_TOO_LARGE),
        ("chat/completions", build_chat(""), 400, Reason.MALFORMED_REQUEST),
        ("chat/completions", build_chat(None), 400, Reason.MALFORMED_REQUEST),
        (
            "chat/completions",
            build_chat([{"type": "image_url", "image_url": "x"}]),
            400,
            Reason.MALFORMED_REQUEST,
        ),
        (
            "chat/completions",
            {"model": MODEL, "messages": []},
            400,
            "malformed_request",
        ),
    ],
)
def test_completions_refuses_an_invalid_body(
    path: str, body: Any, status: int, reason: str
) -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        async with client.post(
            f"/v1/{path}", data=data, headers=AUTHORIZATION
        ) as response:
            assert await read_refusal(response) == (status, reason, "no")

    run(check)


@pytest.mark.parametrize(
    "headers",
    [
        {},
        {"Authorization": "Basic abc"},
        {"Authorization": "Bearer wrong"},
        {"Authorization": "Bearer "},
    ],
)
def test_completions_refuses_an_unknown_customer(headers: dict[str, str]) -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        async with client.post(
            "/v1/completions", data=b"{}", headers=headers
        ) as response:
            assert await read_refusal(response) == (401, "unknown_customer", "no")

    run(check)


@pytest.mark.parametrize(
    "header",
    [
        {"X-Deadline-Ms": "soon"},
        {"X-Deadline-Ms": "0"},
        {"X-Deadline-Ms": "9" * 5_000},
        {"X-Priority": "10"},
    ],
)
def test_completions_refuses_an_invalid_header(header: dict[str, str]) -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        body = {"model": MODEL, "prompt": "p"}
        async with client.post(
            "/v1/completions", json=body, headers={**AUTHORIZATION, **header}
        ) as response:
            assert await read_refusal(response) == (400, "malformed_request", "no")

    run(check)


@pytest.mark.parametrize(
    ("path", "body", "prompt"),
    [
        ("completions", {"prompt": "one two"}, "one two"),
        ("completions", {"prompt": ["one two"]}, "one two"),
        (
            "chat/completions",
            {"messages": [{"role": "user", "content": "one two"}]},
            "one two",
        ),
        (
            "chat/completions",
            {
                "messages": [
                    {"role": "system", "content": "be brief"},
                    {
                        "role": "user",
                        "content": [
                            {"type": "text", "text": "one "},
                            {"type": "text", "text": "two"},
                        ],
                    },
                ]
            },
            "be brief\none two",
        ),
    ],
)
def test_completions_answers_text_and_parts(
    path: str, body: dict[str, Any], prompt: str
) -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        call = {"model": MODEL, "max_tokens": 3, **body}
        async with client.post(
            f"/v1/{path}", json=call, headers=AUTHORIZATION
        ) as response:
            answer = await response.json()
        choice = answer["choices"][0]
        text = choice["message"]["content"] if "chat" in path else choice["text"]
        assert text == answer_text(prompt, 3)
        assert choice["finish_reason"] == "length"
        assert answer["usage"]["completion_tokens"] == 3

    run(check)


def test_models_lists_the_models_of_the_customer() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        async with client.get("/v1/models", headers=AUTHORIZATION) as response:
            body = await response.json()
        assert [model["id"] for model in body["data"]] == [MODEL]
        async with client.get("/v1/models") as response:
            assert await read_refusal(response) == (401, "unknown_customer", "no")
        async with client.get("/elsewhere", headers=AUTHORIZATION) as response:
            assert await read_refusal(response) == (404, "not_found", "no")

    run(check)


@pytest.mark.parametrize(
    "path",
    [
        "/desk/bookings",
        "/desk/%62ookings",
        "/desk//bookings",
        "/desk/x/../bookings",
        "/desk/bookings;v=1?rack=3",
    ],
)
def test_services_requires_a_key_for_all_forms_of_a_path(path: str) -> None:
    """Guards against a double booking when the path is written in an unusual form.

    If the call counted as repeatable, it would be retried after its connection was
    lost, and the service, which treats both forms as equal, would book twice.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        address = urlsplit(fleet.gateway_addresses[0])
        reader, writer = await asyncio.open_connection(address.hostname, address.port)
        head = (
            f"POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n"
            f"Authorization: Bearer {API_KEY}\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        answer = await reader.read()
        writer.close()
        assert b"idempotency_key_required" in answer
        assert all(not service.executions for service in fleet.services.values())

    run(check)


@asynccontextmanager
async def connect(
    fleet: Fleet,
) -> AsyncIterator[tuple[asyncio.StreamReader, asyncio.StreamWriter]]:
    address = urlsplit(fleet.gateway_addresses[0])
    reader, writer = await asyncio.open_connection(address.hostname, address.port)
    try:
        yield reader, writer
    finally:
        writer.close()


def test_body_that_stops_midway_is_refused() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        async with connect(fleet) as (reader, writer):
            writer.write(
                b"POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 90\r\n"
                b"Authorization: Bearer " + API_KEY.encode() + b"\r\n\r\n{"
            )
            answer = await reader.read()
        assert b"408" in answer
        assert b'"slow_sender"' in answer

    run(check)


@pytest.mark.parametrize("head", [b"", b"POST /v1/completions HTTP/1.1\r\nHost:"])
def test_connection_without_a_request_is_aborted(head: bytes) -> None:
    """Guards against connections that stay open without a complete request head.

    No handler is started for them, so no timeout of a handler applies.
    """

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        async with connect(fleet) as (reader, writer):
            writer.write(head)
            with suppress(ConnectionResetError):
                assert await reader.read() == b""
        gateway = fleet.vms["entry-1"].gateway
        n_aborted = gateway.session.metrics.registry.get_sample_value(
            "quetzaldeck_connections_broken_total", {"why": "no_request"}
        )
        assert n_aborted == 1

    run(check)


def test_header_larger_than_the_limit_is_refused() -> None:
    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        async with connect(fleet) as (reader, writer):
            writer.write(
                b"GET /v1/models HTTP/1.1\r\nX: " + b"x" * 20_000 + b"\r\n\r\n"
            )
            answer = await reader.read()
        assert answer.split(maxsplit=2)[1] == b"400"

    run(check)


def test_stream_sends_keep_alives_while_its_request_is_queued() -> None:
    """Guards against a silent stream while its request is queued.

    Another request occupies the only engine. Without keep-alive comments, the caller
    could not tell a busy system from one that is down.
    """
    profile = EngineProfile(kv_tokens=2_000, step_ms=5.0)
    settings = FleetSettings(n_vms=1, n_engines=1, profile=profile, callers=BOUNDS)

    async def check(fleet: Fleet, client: aiohttp.ClientSession) -> None:
        body = {"model": MODEL, "prompt": "p", "max_tokens": 1_200, "stream": True}
        first = await client.post("/v1/completions", json=body, headers=AUTHORIZATION)
        while not any(engine.n_kv_tokens_used for engine in fleet.engines.values()):
            await asyncio.sleep(0.01)
        second = await client.post("/v1/completions", json=body, headers=AUTHORIZATION)
        assert await second.content.readline() == b": keep-alive\n"
        first.close()
        text = await second.text()
        assert text.endswith("data: [DONE]\n\n")

    run(check, settings)
