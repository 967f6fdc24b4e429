"""Callers that record their calls and the answers, and resend failed bookings."""

from __future__ import annotations

import asyncio
import itertools
from typing import TYPE_CHECKING, Any, NamedTuple

import aiohttp
import msgspec
import xxhash

from quetzaldeck.claims import make_timed_key
from quetzaldeck.clock import Clock
from quetzaldeck.history.events import (
    CALLER_TIMEOUT,
    UNREACHABLE,
    CallEnded,
    CallOutcome,
    CallSent,
)
from quetzaldeck.load.caller import build_prompt
from quetzaldeck.standin.answer_text import answer_text
from quetzaldeck.upstreams.sse import DONE, decode_line

if TYPE_CHECKING:
    import random
    from collections.abc import Mapping

    from quetzaldeck.history import Recorder

HTTP_OK = 200
TIMEOUT_MARGIN_MS = 900.0
"""Time after the deadline of a call after which its caller gives up."""
MAX_SENDS = 4
RESEND_INTERVAL_MS = 300.0


class Target(NamedTuple):
    """Parameters of the calls of a run.

    :param customer: name of the customer that owns ``api_key``
    :param path: path of bookings, which must not run twice
    """

    customer: str
    api_key: str
    model: str
    path: str
    deadline_ms: float = 6_000.0
    n_output_tokens: int = 16


class RecordingCaller:
    """Makes calls through randomly chosen gateways and records them.

    :param gateways: base URL of each VM's gateway; may change while calls run
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        recorder: Recorder,
        gateways: Mapping[str, str],
        target: Target,
        random_state: random.Random,
    ) -> None:
        self._client = client
        self._recorder = recorder
        self._gateways = gateways
        self._target = target
        self._random_state = random_state
        self._clock = Clock()
        self._numbers = itertools.count(1)

    async def book(self) -> None:
        """Make a booking, which must not run twice, and resend it until it is answered.

        Each send goes to a VM chosen anew, as behind a load balancer.
        """
        number = next(self._numbers)
        key = make_timed_key(self._clock, self._random_state)
        for send_number in range(MAX_SENDS):
            end = await self._send_recorded(
                f"b{number}.{send_number}", key, b"slot %d" % number
            )
            if end.outcome == CallOutcome.ANSWERED:
                return
            await asyncio.sleep(RESEND_INTERVAL_MS / 1_000)

    async def complete(self, n_prompt_tokens: int) -> None:
        """Make one model call with a prompt that no other call has."""
        call_id = f"m{next(self._numbers)}"
        await self._send_recorded(
            call_id, "", b"", build_prompt(call_id, n_prompt_tokens)
        )

    async def complete_text(self, call_id: str, prompt: str) -> None:
        """Make one model call with a given prompt."""
        await self._send_recorded(call_id, "", b"", prompt)

    async def _send_recorded(
        self, call_id: str, key: str, body: bytes, prompt: str = ""
    ) -> CallEnded:
        target = self._target
        vm = self._random_state.choice(sorted(self._gateways))
        sent_ms = self._recorder.now_ms()
        self._recorder.record(
            CallSent(
                sent_ms,
                call_id,
                vm,
                target.customer,
                key,
                xxhash.xxh3_64_hexdigest(body),
                not key,
                sent_ms + target.deadline_ms,
            )
        )
        end = await self._send_with_timeout(call_id, vm, key, body, prompt)
        self._recorder.record(end)
        return end

    async def _send_with_timeout(
        self, call_id: str, vm: str, key: str, body: bytes, prompt: str
    ) -> CallEnded:
        timeout_s = (self._target.deadline_ms + TIMEOUT_MARGIN_MS) / 1_000
        outcome, reason = CallOutcome.FAILED, ""
        try:
            async with asyncio.timeout(timeout_s):
                if key:
                    return await self._call_service(call_id, vm, key, body)
                return await self._complete(call_id, vm, prompt)
        except aiohttp.ClientConnectorError:
            reason = UNREACHABLE
        except TimeoutError:
            reason = CALLER_TIMEOUT
        except (aiohttp.ClientError, OSError) as error:
            outcome, reason = CallOutcome.BROKEN, repr(error)
        return CallEnded(self._recorder.now_ms(), call_id, outcome, reason=reason)

    async def _call_service(
        self, call_id: str, vm: str, key: str, body: bytes
    ) -> CallEnded:
        expected = f"{key} {xxhash.xxh3_64_hexdigest(body)}"
        async with self._client.post(
            self._gateways[vm] + self._target.path,
            data=body,
            headers={**self._build_headers(), "Idempotency-Key": key},
        ) as response:
            answer = msgspec.json.decode(await response.read())
            request_id = response.headers.get("X-Request-Id", "")
        if response.status != HTTP_OK:
            return self._build_failure(call_id, answer["error"])
        return CallEnded(
            self._recorder.now_ms(),
            call_id,
            CallOutcome.ANSWERED,
            request_id,
            answer=f"{answer['key']} {answer['digest']}",
            expected=expected,
        )

    async def _complete(self, call_id: str, vm: str, prompt: str) -> CallEnded:
        n_tokens = self._target.n_output_tokens
        body = {
            "model": self._target.model,
            "prompt": prompt,
            "max_tokens": n_tokens,
            "stream": True,
        }
        sent_ms = self._recorder.now_ms()
        first_token_ms: float | None = None
        texts: list[str] = []
        async with self._client.post(
            self._gateways[vm] + "/v1/completions",
            data=msgspec.json.encode(body),
            headers=self._build_headers(),
        ) as response:
            if response.status != HTTP_OK:
                error = msgspec.json.decode(await response.read())["error"]
                return self._build_failure(call_id, error)
            request_id = response.headers.get("X-Request-Id", "")
            is_done = False
            async for line in response.content:
                data = decode_line(line)
                if data is None:
                    continue
                is_done = data == DONE
                if is_done:
                    break
                event = msgspec.json.decode(data)
                if "error" in event:
                    return self._build_failure(call_id, event["error"])
                if first_token_ms is None:
                    first_token_ms = self._recorder.now_ms()
                texts.append(event["choices"][0]["text"])
        outcome = CallOutcome.ANSWERED if is_done else CallOutcome.BROKEN
        return CallEnded(
            self._recorder.now_ms(),
            call_id,
            outcome,
            request_id,
            answer=xxhash.xxh3_64_hexdigest("".join(texts).encode()),
            expected=xxhash.xxh3_64_hexdigest(answer_text(prompt, n_tokens).encode()),
            ttft_ms=None if first_token_ms is None else first_token_ms - sent_ms,
        )

    def _build_failure(self, call_id: str, error: dict[str, Any]) -> CallEnded:
        return CallEnded(
            self._recorder.now_ms(),
            call_id,
            CallOutcome.FAILED,
            error["request_id"],
            error["reason"],
            error["ran"],
        )

    def _build_headers(self) -> dict[str, str]:
        return {
            "Authorization": f"Bearer {self._target.api_key}",
            "Content-Type": "application/json",
            "X-Deadline-Ms": str(round(self._target.deadline_ms)),
        }


__all__ = ("RecordingCaller", "Target")
