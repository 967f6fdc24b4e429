"""A caller of the load generator: makes calls and checks their answers."""

from __future__ import annotations

import asyncio
import random
import uuid
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
import xxhash

from quetzaldeck.claims import make_timed_key
from quetzaldeck.load.result import Result, Verdict
from quetzaldeck.standin.answer_text import answer_text
from quetzaldeck.upstreams.sse import DONE, decode_line

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.load.settings import KindSettings

DEADLINE_GRACE_MS = 2_000.0
"""How long after its deadline a call may still end before it counts as lost."""
HTTP_OK = 200


class StreamedText:
    """Text of a streamed answer, and how the stream ended."""

    def __init__(self) -> None:
        self.parts: list[str] = []
        self.first_token_ms: float | None = None
        self.error: dict[str, Any] | None = None
        self.is_done = False


class Caller:
    """Makes calls through a shared client session."""

    def __init__(self, client: aiohttp.ClientSession, clock: Clock) -> None:
        self._client = client
        self._clock = clock
        self._random = random.SystemRandom()

    async def run(
        self, gateway: str, kind: KindSettings, n_prompt_tokens: int
    ) -> Result:
        """:returns: the result of one call of ``kind``"""
        started_ms = self._clock.now_ms()
        timeout_s = (kind.deadline_ms + DEADLINE_GRACE_MS) / 1_000
        try:
            async with asyncio.timeout(timeout_s):
                if kind.model:
                    return await self._complete(gateway, kind, n_prompt_tokens)
                return await self._call_service(gateway, kind)
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            total_ms = self._clock.now_ms() - started_ms
            return Result(
                kind.name,
                Verdict.LOST,
                n_prompt_tokens,
                None,
                total_ms,
                detail=repr(error),
            )

    async def _complete(
        self, gateway: str, kind: KindSettings, n_prompt_tokens: int
    ) -> Result:
        started_ms = self._clock.now_ms()
        prompt = build_prompt(uuid.uuid4().hex, n_prompt_tokens)
        body = {
            "model": kind.model,
            "prompt": prompt,
            "max_tokens": kind.max_output_tokens,
            "stream": True,
        }
        async with self._client.post(
            gateway + "/v1/completions",
            data=msgspec.json.encode(body),
            headers=_headers(kind),
        ) as response:
            if response.status != HTTP_OK:
                error = msgspec.json.decode(await response.read())["error"]
                return self._build_refusal(kind, n_prompt_tokens, started_ms, error)
            streamed = await self._read_stream(response)
        return self._check_answer(kind, n_prompt_tokens, prompt, started_ms, streamed)

    async def _read_stream(self, response: aiohttp.ClientResponse) -> StreamedText:
        streamed = StreamedText()
        async for line in response.content:
            data = decode_line(line)
            if data is None:
                continue
            if data == DONE:
                streamed.is_done = True
                break
            event = msgspec.json.decode(data)
            if "error" in event:
                streamed.error = event["error"]
                break
            if streamed.first_token_ms is None:
                streamed.first_token_ms = self._clock.now_ms()
            streamed.parts.append(event["choices"][0]["text"])
        return streamed

    def _check_answer(
        self,
        kind: KindSettings,
        n_prompt_tokens: int,
        prompt: str,
        started_ms: float,
        streamed: StreamedText,
    ) -> Result:
        if streamed.error is not None:
            return self._build_refusal(
                kind, n_prompt_tokens, started_ms, streamed.error
            )
        text = "".join(streamed.parts)
        expected = answer_text(prompt, kind.max_output_tokens)
        if streamed.is_done and text == expected:
            verdict = Verdict.ANSWERED
        elif expected.startswith(text):
            verdict = Verdict.LOST
        else:
            verdict = Verdict.MIXED_UP
        first_token_ms = streamed.first_token_ms
        ttft_ms = None if first_token_ms is None else first_token_ms - started_ms
        total_ms = self._clock.now_ms() - started_ms
        return Result(kind.name, verdict, n_prompt_tokens, ttft_ms, total_ms)

    async def _call_service(self, gateway: str, kind: KindSettings) -> Result:
        started_ms = self._clock.now_ms()
        key = make_timed_key(self._clock, self._random)
        body = key.encode()
        async with self._client.post(
            gateway + kind.path,
            data=body,
            headers={**_headers(kind), "Idempotency-Key": key},
        ) as response:
            answer = msgspec.json.decode(await response.read())
            total_ms = self._clock.now_ms() - started_ms
            if response.status != HTTP_OK:
                refusal = self._build_refusal(kind, 1, started_ms, answer["error"])
                return refusal._replace(key=key)
        is_own = answer["key"] == key and answer["digest"] == xxhash.xxh3_64_hexdigest(
            body
        )
        verdict = Verdict.ANSWERED if is_own else Verdict.MIXED_UP
        return Result(kind.name, verdict, 1, total_ms, total_ms, key=key)

    def _build_refusal(
        self,
        kind: KindSettings,
        n_prompt_tokens: int,
        started_ms: float,
        error: dict[str, Any],
    ) -> Result:
        verdict = Verdict.REFUSED if error["ran"] == "no" else Verdict.FAILED
        total_ms = self._clock.now_ms() - started_ms
        return Result(
            kind.name,
            verdict,
            n_prompt_tokens,
            None,
            total_ms,
            reason=error["reason"],
            ran=error["ran"],
            detail=error["message"],
        )


def build_prompt(marker: str, n_tokens: int) -> str:
    """:returns: a prompt of ``n_tokens`` short words that begins with ``marker``"""
    return marker + " log" * (n_tokens - 1)


def _headers(kind: KindSettings) -> dict[str, str]:
    return {
        "Authorization": f"Bearer {kind.api_key}",
        "Content-Type": "application/json",
        "X-Deadline-Ms": str(kind.deadline_ms),
    }


__all__ = ("Caller", "build_prompt")
