"""Stand-in engine: serves the engine protocol on top of the cost model."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.config import load_data
from quetzaldeck.http import json_response
from quetzaldeck.standin.answer_text import digest_prompt, token_text
from quetzaldeck.standin.base import StandinBase
from quetzaldeck.standin.cache_event_reader import CacheEventReader
from quetzaldeck.standin.chunk import build_chunk
from quetzaldeck.standin.chunk_faults import ChunkFaults
from quetzaldeck.standin.endless import pour
from quetzaldeck.standin.engine_commands import EngineCommands
from quetzaldeck.standin.engine_request import build_sequence, split_delivered
from quetzaldeck.standin.engine_task import EngineTask, HeldSequence
from quetzaldeck.standin.faults import EngineFaults
from quetzaldeck.standin.group_routes import GroupRoutes, ImportFailedError
from quetzaldeck.standin.statements import build_refusal, build_statement_headers
from quetzaldeck.upstreams.attempt import Owner
from quetzaldeck.upstreams.http import INCARNATION_HEADER
from quetzaldeck.upstreams.sse import DONE, KEEP_ALIVE, encode_event

if TYPE_CHECKING:
    from quetzaldeck.standin.sequence_observer import SequenceObserver
    from quetzaldeck.standin.settings import EngineSettings
    from quetzaldeck.standin.weight_store import WeightStoreStandin

KEEP_ALIVE_MS = 500.0


class EngineStandin(StandinBase):
    """A stand-in engine; docs/UPSTREAM.md describes its protocol."""

    def __init__(
        self,
        settings: EngineSettings,
        *,
        clock: Clock | None = None,
        observer: SequenceObserver | None = None,
        weight_store: WeightStoreStandin | None = None,
        **kwargs: Any,
    ) -> None:
        super().__init__(settings.listen, **kwargs)
        self.commands = EngineCommands(
            settings.models,
            max_models=settings.max_models,
            weight_store=weight_store,
            start=self.start_fault,
        )
        self._settings = settings
        self._clock = clock or Clock()
        self._observer = observer
        self._faults = settings.faults
        self._start_incarnation()
        self._groups = GroupRoutes(
            engine=lambda: self._engine,
            address=lambda: self.address,
            headers=self._stream_headers,
            wait_for_token=self._wait_for_token,
        )
        self._task: asyncio.Task[None] | None = None

    @property
    def n_kv_tokens_used(self) -> int:
        """:returns: memory held now, in tokens"""
        return self._engine.n_kv_tokens_used

    @property
    def n_submitted(self) -> int:
        """:returns: sequences accepted in the current incarnation"""
        return self._engine.n_submitted

    @property
    def n_reservations(self) -> int:
        """:returns: reservations granted in the current incarnation"""
        return self._engine.group_allocations.n_granted

    @property
    def n_exports(self) -> int:
        """:returns: number of exports that are not released"""
        return len(self._engine.group_allocations.exports)

    @property
    def settings(self) -> EngineSettings:
        """:returns: settings of the engine"""
        return self._settings

    @property
    def incarnation(self) -> str:
        """:returns: id of the current incarnation of the engine"""
        return self._incarnation

    @property
    def faults(self) -> EngineFaults:
        """:returns: persistent faults of the engine"""
        return self._faults

    @faults.setter
    def faults(self, faults: EngineFaults) -> None:
        self._faults = faults

    async def set_faults(self, data: Any) -> None:
        """Replace the persistent faults; see :meth:`StandinBase.set_faults`."""
        self._faults = load_data(data, EngineFaults, "faults")

    async def reset_state(self) -> None:
        """Drop all sequences and the cache, and start a new incarnation."""
        await self._end_task()
        self._engine.cancel_all()
        self.commands.restart()
        self._start_incarnation()
        self._task = asyncio.create_task(self._engine.run())

    async def open(self) -> web.Application:
        """Build the application and start the task of the engine."""
        self._task = asyncio.create_task(self._engine.run())
        return self.build_application(
            [
                web.post("/v1/completions", self._complete),
                web.post("/v1/chat/completions", self._complete),
                web.post("/v1/cancel", self._cancel),
                web.post("/v1/commands", self._command),
                web.get("/v1/load", self._load),
                web.get("/v1/sequences", self._sequences),
                web.get("/v1/cache_events", self._cache_events),
                *self._groups.list_routes(),
            ]
        )

    async def close(self) -> None:
        """Stop the task of the engine."""
        await super().close()
        await self._end_task()

    def _start_incarnation(self) -> None:
        self._incarnation = uuid.uuid4().hex[:12]
        self._engine = EngineTask(
            self._settings.profile,
            self._clock,
            wait_until_running=self._connection_faults.wait_until_running,
            observer=self._observer,
        )
        self._cache_reader = CacheEventReader(
            self._incarnation,
            self._engine.cache_events,
            self._clock,
            lambda: self._faults,
        )

    def _stream_headers(self) -> dict[str, str]:
        return {
            "Content-Type": "text/event-stream",
            INCARNATION_HEADER: self._incarnation,
            **build_statement_headers(self._faults),
        }

    async def _end_task(self) -> None:
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        body = msgspec.json.decode(await request.read())
        refusal = build_refusal(self._faults)
        if refusal is not None:
            return refusal
        control = body["quetzaldeck"]
        prompt, delivered = split_delivered(body, control["offset"])
        sequence = build_sequence(body, prompt, delivered)
        owner = Owner(control["vm"], control["incarnation"])
        engine = self._engine
        if not engine.has_capacity(sequence):
            return json_response({"error": "no such room"}, status=413)
        try:
            imported = await self._groups.read_imports(control.get("imports", []))
        except ImportFailedError as error:
            return json_response({"error": str(error)}, status=424)
        prompt = imported + prompt
        self._crash_if_marked(prompt)
        response = web.StreamResponse(headers=self._stream_headers())
        if self._faults.endless:
            await pour(self._faults.endless, request)
            return response
        await response.prepare(request)
        held_sequence = engine.submit(sequence, owner)
        try:
            await self._stream(
                request, response, held_sequence, digest_prompt(prompt), control
            )
        finally:
            # On a silenced connection the engine cannot see that the client has
            # disconnected: the sequence keeps its memory until it is cancelled
            # or finished.
            if not self._connection_faults.is_silenced(request):
                engine.cancel(sequence.sequence_id)
        return response

    def _crash_if_marked(self, prompt: str) -> None:
        marker = self._faults.crash_marker
        if marker and marker in prompt:
            self.start_fault(self._crash_later())

    async def _crash_later(self) -> None:
        await asyncio.sleep(self._faults.crash_after_ms / 1_000)
        await self.crash(self._faults.restart_ms)

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        held_sequence: HeldSequence,
        digest: str,
        control: dict[str, Any],
    ) -> None:
        sequence = held_sequence.sequence
        first = control["n_delivered_tokens"]
        offset = control["offset"]
        chunk_faults = ChunkFaults(self._faults)
        for index in range(sequence.max_output_tokens):
            await self._wait_for_token(request, response, held_sequence)
            text = token_text(digest, first + index)
            is_last = index + 1 == sequence.max_output_tokens
            chunk = build_chunk(
                sequence,
                text,
                offset=offset,
                n_output_tokens=first + index + 1,
                is_last=is_last,
            )
            if index == 0 and control.get("cache_cursor") is not None:
                chunk["cache_events"] = self._cache_reader.read_newest(
                    control["cache_cursor"]
                )
            offset += len(text)
            for sent in chunk_faults.apply(chunk):
                await response.write(encode_event(msgspec.json.encode(sent)))
        await response.write(encode_event(DONE))

    async def _wait_for_token(
        self,
        request: web.Request,
        response: web.StreamResponse,
        held_sequence: HeldSequence,
    ) -> None:
        while True:
            try:
                async with asyncio.timeout(KEEP_ALIVE_MS / 1_000):
                    await held_sequence.tokens.get()
            except TimeoutError:
                await self._connection_faults.wait_until_sendable(request)
                await response.write(KEEP_ALIVE)
            else:
                await self._connection_faults.wait_until_sendable(request)
                return

    async def _cancel(self, request: web.Request) -> web.Response:
        body = msgspec.json.decode(await request.read())
        self._engine.cancel(body["attempt_id"])
        return json_response({})

    async def _command(self, request: web.Request) -> web.Response:
        return await self.commands.handle(
            request, ignores_fencing=self._faults.ignores_fencing
        )

    async def _load(self, request: web.Request) -> web.Response:
        if self._faults.endless:
            await pour(self._faults.endless, request)
        lag_ms = self._settings.load_lag_ms + self._faults.extra_load_lag_ms
        load = self._engine.read_load(lag_ms)
        return json_response(
            {
                "incarnation": self._incarnation,
                "sequence": load.sequence,
                "age_ms": self._clock.now_ms() - load.at_ms,
                "n_running": load.n_running,
                "n_waiting": load.n_waiting,
                "n_kv_tokens_used": load.n_kv_tokens_used,
                "n_prefill_tokens": load.n_prefill_tokens,
                "models": self.commands.models,
                "role": self.commands.role,
            }
        )

    async def _cache_events(self, request: web.Request) -> web.Response:
        after = int(request.query.get("after", "0"))
        return json_response(
            {
                "incarnation": self._incarnation,
                "events": self._cache_reader.read(after),
            }
        )

    async def _sequences(self, request: web.Request) -> web.Response:
        return json_response(self._engine.list_allocations())


__all__ = ("EngineStandin",)
