"""Commands to a stand-in engine: loaded models, role and fencing tokens."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.http import json_response
from quetzaldeck.standin.weight_store import (
    WeightStoreLimitError,
    WeightStoreStandin,
)
from quetzaldeck.upstreams.wire import CommandBody

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from typing import Any

HTTP_BAD_REQUEST = 400
HTTP_CONFLICT = 409
HTTP_FENCED = 412
HTTP_TOO_MANY_REQUESTS = 429
_BODY_DECODER = msgspec.json.Decoder(CommandBody)


class EngineCommands:
    """Executes commands to one engine: its loaded models and its role.

    :param models: models loaded at the start, named as in load reports
    :param max_models: most model versions that the engine can hold; 0: no limit
    :param start: runs a coroutine that loads weights in the background
    """

    def __init__(
        self,
        models: tuple[str, ...],
        *,
        max_models: int,
        weight_store: WeightStoreStandin | None,
        start: Callable[[Coroutine[Any, Any, None]], None],
    ) -> None:
        self._initial_models = models
        self._max_models = max_models
        self._store = weight_store or WeightStoreStandin(Clock())
        self._start = start
        self._loading: set[str] = set()
        self._n_restarts = 0
        self.models = list(models)
        self.role = ""
        self.highest_token: list[int] = []
        self.n_fenced = 0
        self.accepted: list[CommandBody] = []

    def restart(self) -> None:
        """Reset to the initial models, as a crash does.

        The highest fencing token is not stored, so it is lost as well.
        """
        self._n_restarts += 1
        self._loading.clear()
        self.models = list(self._initial_models)
        self.role = ""
        self.highest_token = []

    async def handle(
        self, request: web.Request, *, ignores_fencing: bool
    ) -> web.Response:
        """Handle ``POST /v1/commands``."""
        body = _BODY_DECODER.decode(await request.read())
        token = body["fencing_token"]
        if token < self.highest_token and not ignores_fencing:
            self.n_fenced += 1
            return json_response({"error": "old fencing token"}, status=HTTP_FENCED)
        self.highest_token = max(self.highest_token, token)
        status = self._apply(body)
        if status == web.HTTPOk.status_code:
            self.accepted.append(body)
        return json_response({}, status=status)

    def _apply(self, body: CommandBody) -> int:
        name = f"{body['model']}:{body['version']}"
        match body["action"]:
            case "load_model":
                return self._load(name, counts_as_model=True)
            case "load_adapter":
                return self._load(f"{name}:{body['adapter']}", counts_as_model=False)
            case "unload_model":
                self.models = [
                    loaded
                    for loaded in self.models
                    if loaded != name and not loaded.startswith(f"{name}:")
                ]
            case "change_role":
                self.role = body["role"]
            case _:
                return HTTP_BAD_REQUEST
        return web.HTTPOk.status_code

    def _load(self, name: str, *, counts_as_model: bool) -> int:
        if name in self.models or name in self._loading:
            return web.HTTPOk.status_code
        n_models = sum(loaded.count(":") == 1 for loaded in self.models)
        if counts_as_model and self._max_models and n_models >= self._max_models:
            return HTTP_CONFLICT
        try:
            self._store.check_limit()
        except WeightStoreLimitError:
            return HTTP_TOO_MANY_REQUESTS
        self._loading.add(name)
        self._start(self._finish_load(name, self._n_restarts))
        return web.HTTPOk.status_code

    async def _finish_load(self, name: str, n_restarts: int) -> None:
        await self._store.fetch()
        if n_restarts == self._n_restarts:
            self._loading.discard(name)
            self.models.append(name)


__all__ = ("EngineCommands",)
