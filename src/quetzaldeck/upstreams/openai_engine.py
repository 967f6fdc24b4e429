"""Adapter for engines with an OpenAI-compatible API over HTTP and SSE."""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack, suppress
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.decisions.loads.load_report import LoadReport
from quetzaldeck.decisions.placement.cache_events import CacheEvent, CacheEvents
from quetzaldeck.http.answer_bounds import ByteBound, read_body
from quetzaldeck.json_decoder import JsonDecoder
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.upstreams.api import EngineUpstream, engine_protocols
from quetzaldeck.upstreams.attempt import Chunk, Export, Owner, RunningSequence
from quetzaldeck.upstreams.errors import UpstreamError
from quetzaldeck.upstreams.http import (
    build_timeout,
    check_status,
    translate_faults,
)
from quetzaldeck.upstreams.openai_bodies import build_completion, build_prefill
from quetzaldeck.upstreams.sse import DONE, decode_line
from quetzaldeck.upstreams.watch import IdleTimeout
from quetzaldeck.upstreams.wire import (
    ChunkBody,
    ExportBody,
    LoadBody,
    ReservationBody,
    ReservationState,
    SequenceBody,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

    from quetzaldeck.upstreams.attempt import (
        Attempt,
        Command,
        PrefillPart,
        Reservation,
    )
    from quetzaldeck.upstreams.watch import Watch

_CHUNK_DECODER = JsonDecoder(ChunkBody)
_LOAD_DECODER = JsonDecoder(LoadBody)
_RESERVATION_DECODER = JsonDecoder(ReservationState)
_EXPORT_DECODER = JsonDecoder(ExportBody)
_SEQUENCES_DECODER = JsonDecoder(list[SequenceBody])
CONTROL_TIMEOUT_MS = 2_000.0
MAX_CONTROL_BYTES = 1 << 20
"""Limit on an answer that is no completion; a list of sequences has some 200 bytes for
each."""

MAX_UNUSED_BYTES = 65_536
"""Limit on comments and blank lines between two events: keep-alives of half an hour."""

_CACHED_KIND = "cached"
_END_OF_STREAM_TIMEOUT_MS = 20.0


@engine_protocols.register("openai")
class OpenAiEngine(EngineUpstream):
    """Client of the engine protocol that docs/UPSTREAM.md specifies."""

    async def complete(
        self, attempt: Attempt, watch: Watch
    ) -> AsyncGenerator[Chunk, None]:
        """Run an attempt; see :meth:`EngineUpstream.complete`."""
        name = self._spec.name
        is_whole_chat = attempt.call.is_chat and attempt.prompt_part is None
        path = "/v1/chat/completions" if is_whole_chat else "/v1/completions"
        incarnation = ""

        async def send() -> aiohttp.ClientResponse:
            request = self._session.post(
                self._spec.address + path,
                data=msgspec.json.encode(build_completion(attempt)),
                headers={"Content-Type": "application/json"},
                timeout=build_timeout(self._timeouts, attempt.timeout_ms),
            )
            return await stack.enter_async_context(request)

        async with translate_faults(name) as origin, AsyncExitStack() as stack:
            response = await watch.wait(send)
            origin.read_header(response)
            self._note_said(response)
            incarnation = origin.incarnation
            check_status(name, response)
            is_complete = False
            try:
                async for data in _read_events(response, watch):
                    chunk = self._decode_chunk(data)
                    is_own = chunk.attempt_id == attempt.attempt_id
                    is_complete = is_complete or (
                        is_own and chunk.finish_reason is not None
                    )
                    yield chunk
            finally:
                if is_complete:
                    await _read_to_end(response)
            if is_complete:
                return
        raise UpstreamError(
            AttemptFault.BROKEN,
            f"{name}: the stream ended before the answer was complete",
            upstream=name,
            incarnation=incarnation,
        )

    def _decode_chunk(self, data: bytes) -> Chunk:
        try:
            body = _CHUNK_DECODER.decode(data)
            choice = body["choices"][0]
        except (msgspec.DecodeError, IndexError) as error:
            raise self._decoding_error("chunk", error) from error
        return Chunk(
            body["id"],
            body["offset"],
            choice["text"],
            body.get("n_output_tokens", 0),
            body.get("n_prompt_tokens", 0),
            choice["finish_reason"],
            self._read_cache_events(body),
        )

    def _read_cache_events(self, body: ChunkBody) -> CacheEvents | None:
        published = body.get("cache_events")
        if published is None:
            return None
        events = tuple(
            CacheEvent(
                event["sequence"], event["kind"] == _CACHED_KIND, event["prefix_hash"]
            )
            for event in published["events"]
        )
        return CacheEvents(self._spec.name, published["incarnation"], events)

    async def cancel(self, attempt_id: str) -> None:
        """Stop an attempt; see :meth:`EngineUpstream.cancel`."""
        await self._post("/v1/cancel", {"attempt_id": attempt_id})

    async def reserve(self, reservation: Reservation) -> bool:
        """Request memory; see :meth:`EngineUpstream.reserve`."""
        body: ReservationBody = {
            "reservation_id": reservation.reservation_id,
            "vm": reservation.owner.vm,
            "incarnation": reservation.owner.incarnation,
            "n_tokens": reservation.n_tokens,
            "timeout_ms": reservation.timeout_ms,
        }
        data = await self._post("/v1/reservations", body)
        try:
            return _RESERVATION_DECODER.decode(data)["is_granted"]
        except msgspec.DecodeError as error:
            raise self._decoding_error("reservation", error) from error

    async def prefill(self, part: PrefillPart) -> Export:
        """Prefill a prompt part; see :meth:`EngineUpstream.prefill`."""
        name = self._spec.name
        watch = IdleTimeout(self._timeouts.idle_ms)

        async def send() -> aiohttp.ClientResponse:
            return await self._session.post(
                self._spec.address + "/v1/prefill",
                data=msgspec.json.encode(build_prefill(part)),
                headers={"Content-Type": "application/json"},
                timeout=build_timeout(self._timeouts, part.timeout_ms),
            )

        async with (
            translate_faults(name) as origin,
            await watch.wait(send) as response,
        ):
            origin.read_header(response)
            self._note_said(response)
            check_status(name, response)
            async for data in _read_events(response, watch):
                try:
                    return Export(**_EXPORT_DECODER.decode(data))
                except msgspec.DecodeError as error:
                    raise self._decoding_error("export", error) from error
            raise UpstreamError(
                AttemptFault.BROKEN,
                f"{name}: the stream ended before the prefill was complete",
                upstream=name,
                incarnation=origin.incarnation,
            )

    async def read_load(self) -> LoadReport:
        """Read the load; see :meth:`Upstream.read_load`."""
        data = await self._get("/v1/load")
        try:
            body = _LOAD_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise self._decoding_error("load report", error) from error
        models = tuple(body["models"])
        fields = {**body, "models": models}
        return LoadReport(upstream=self._spec.name, **fields)  # type: ignore[arg-type]

    async def list_sequences(self) -> tuple[RunningSequence, ...]:
        """List sequences; see :meth:`EngineUpstream.list_sequences`."""
        data = await self._get("/v1/sequences")
        try:
            bodies = _SEQUENCES_DECODER.decode(data)
        except msgspec.DecodeError as error:
            raise self._decoding_error("sequences", error) from error
        return tuple(
            RunningSequence(
                body["attempt_id"],
                Owner(body["vm"], body["incarnation"]),
                body["n_kv_tokens"],
                body["age_ms"],
                body["kind"],
            )
            for body in bodies
        )

    async def send_command(self, command: Command, owner: Owner) -> bool:
        """Send a command; see :meth:`EngineUpstream.send_command`."""
        body = {**command._asdict(), **owner._asdict()}
        try:
            await self._post("/v1/commands", body)
        except UpstreamError as error:
            if error.fault is AttemptFault.REFUSED:
                return False
            raise
        return True

    def _decoding_error(self, what: str, error: Exception) -> UpstreamError:
        name = self._spec.name
        detail = f"{name}: cannot decode {what}: {error}"
        return UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)

    async def _get(self, path: str) -> bytes:
        timeout = build_timeout(self._timeouts, None)
        async with (
            translate_faults(self._spec.name),
            RunningTimeout(CONTROL_TIMEOUT_MS),
            self._session.get(self._spec.address + path, timeout=timeout) as response,
        ):
            self._note_said(response)
            check_status(self._spec.name, response)
            return await read_body(response, MAX_CONTROL_BYTES)

    async def _post(self, path: str, body: Any) -> bytes:
        timeout = build_timeout(self._timeouts, None)
        async with (
            translate_faults(self._spec.name),
            RunningTimeout(CONTROL_TIMEOUT_MS),
            self._session.post(
                self._spec.address + path,
                data=msgspec.json.encode(body),
                timeout=timeout,
            ) as response,
        ):
            self._note_said(response)
            check_status(self._spec.name, response)
            return await read_body(response, MAX_CONTROL_BYTES)


async def _read_events(
    response: aiohttp.ClientResponse, watch: Watch
) -> AsyncIterator[bytes]:
    unused = ByteBound("lines without an event", MAX_UNUSED_BYTES)
    while line := await watch.wait(response.content.readline):
        data = decode_line(line)
        if data is None:
            unused.add(len(line))
            continue
        unused.reset()
        if data == DONE:
            return
        yield data


async def _read_to_end(response: aiohttp.ClientResponse) -> None:
    """Read what follows the last chunk, so that the connection can be reused.

    The consumer stops at the last chunk. aiohttp closes a connection whose end marker
    was not read, so that each call would have to open a new one. If an engine does not
    end its stream in time, only the connection is lost, and the call is not delayed.
    """
    with suppress(TimeoutError, aiohttp.ClientError):
        async with asyncio.timeout(_END_OF_STREAM_TIMEOUT_MS / 1_000):
            while await response.content.readany():
                pass


__all__ = ("CONTROL_TIMEOUT_MS", "OpenAiEngine")
