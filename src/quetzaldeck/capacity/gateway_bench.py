"""Runs callers, a gateway and a token source, each in a separate thread."""

from __future__ import annotations

import asyncio
import time
from contextlib import ExitStack
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec

from quetzaldeck.bundle import Bundle, CustomerSpec, ModelSpec, UpstreamSpec
from quetzaldeck.capacity.thread import LoopThread, ServiceThread
from quetzaldeck.gateway.customers import hash_key
from quetzaldeck.gateway.service import GatewayService
from quetzaldeck.gateway.settings import GatewaySettings
from quetzaldeck.http.address import ListenAddress
from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.load.caller import build_prompt

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from types import TracebackType

    import aiohttp

    from quetzaldeck.capacity.token_source import TokenSource

API_KEY = "capacity"
MODEL = "m"
VALID_UNTIL_MS = 4_102_444_800_000
KV_TOKENS = 100_000_000
SAMPLE_INTERVAL_S = 0.02


class CallTimes(NamedTuple):
    """Latencies of one call as its caller measured them, in milliseconds."""

    ttft_ms: float
    total_ms: float


class GatewayBench:
    """Runs calls through a gateway, or directly to the token source.

    :param source: the engine that the gateway forwards to
    """

    def __init__(self, source: TokenSource) -> None:
        self._stack = ExitStack()
        self._source = ServiceThread(source)
        self._gateway: ServiceThread | None = None
        self._callers = LoopThread()

    def __enter__(self) -> GatewayBench:
        self._stack.enter_context(self._source)
        settings = GatewaySettings(
            "vm-1", "zone-1", ListenAddress(), "http://127.0.0.1:1"
        )
        gateway = GatewayService(settings)
        self._gateway = self._stack.enter_context(ServiceThread(gateway))
        self._gateway.run(self._apply_bundle(gateway))
        self._stack.enter_context(self._callers)
        return self

    def __exit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._stack.close()

    @property
    def gateway_cpu_ms(self) -> float:
        """:returns: CPU time of the gateway's thread"""
        assert self._gateway is not None
        return self._gateway.cpu_ms()

    def call(
        self,
        *,
        n_calls: int,
        concurrency: int = 1,
        n_output_tokens: int = 16,
        n_prompt_tokens: int = 1_000,
        is_direct: bool = False,
        sample: Callable[[], None] | None = None,
    ) -> list[CallTimes]:
        """:returns: latencies of each call

        :param concurrency: calls that run at the same time
        :param is_direct: call the token source without the gateway
        :param sample: called every ``SAMPLE_INTERVAL_S`` while the calls run
        """
        target = self._source if is_direct else self._gateway
        assert target is not None
        body = build_body(n_prompt_tokens, n_output_tokens)
        url = target.service.address + "/v1/completions"
        calls = run_calls(url, body, n_calls, concurrency)
        return self._callers.run(_sample_during(calls, sample))

    async def _apply_bundle(self, gateway: GatewayService) -> None:
        gateway.session.state.apply_bundle(build_bundle(self._source.service.address))


def build_body(n_prompt_tokens: int, n_output_tokens: int) -> bytes:
    """:returns: request body of a streamed call"""
    return msgspec.json.encode(
        {
            "model": MODEL,
            "prompt": build_prompt("p", n_prompt_tokens),
            "max_tokens": n_output_tokens,
            "stream": True,
        }
    )


def build_bundle(engine_address: str) -> Bundle:
    """:returns: a bundle with one engine and one customer"""
    engine = UpstreamSpec("e", engine_address, models=(MODEL,), kv_tokens=KV_TOKENS)
    customer = CustomerSpec("c", (hash_key(API_KEY),), models=(MODEL,))
    models = (ModelSpec(MODEL, "1"),)
    return Bundle(1, VALID_UNTIL_MS, models, (customer,), (engine,))


async def run_calls(
    url: str, body: bytes, n_calls: int, concurrency: int
) -> list[CallTimes]:
    """:returns: latencies of each call to ``url``"""
    headers = {
        "Authorization": f"Bearer {API_KEY}",
        "Content-Type": "application/json",
    }
    semaphore = asyncio.Semaphore(concurrency)

    async def call(client: aiohttp.ClientSession) -> CallTimes:
        async with semaphore:
            return await _time_call(client, url, body)

    async with open_client(headers=headers) as client:
        return await asyncio.gather(*(call(client) for _ in range(n_calls)))


async def _sample_during(
    calls: Coroutine[Any, Any, list[CallTimes]], sample: Callable[[], None] | None
) -> list[CallTimes]:
    task = asyncio.create_task(calls)
    while sample is not None and not task.done():
        sample()
        await asyncio.sleep(SAMPLE_INTERVAL_S)
    return await task


async def _time_call(client: aiohttp.ClientSession, url: str, body: bytes) -> CallTimes:
    started = time.perf_counter()
    first = started
    async with client.post(url, data=body) as response:
        response.raise_for_status()
        async for data in response.content.iter_any():
            if first == started and b"choices" in data:
                first = time.perf_counter()
    ended = time.perf_counter()
    return CallTimes((first - started) * 1_000, (ended - started) * 1_000)


__all__ = ("CallTimes", "GatewayBench", "build_body", "build_bundle", "run_calls")
