"""Stand-in for the platform's list of VMs, whose changes appear with a delay."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, Any, NamedTuple

import msgspec
from aiohttp import web

from quetzaldeck.clock import Clock
from quetzaldeck.config import FindingsError, load_data
from quetzaldeck.directory import VmEntry
from quetzaldeck.http import json_response
from quetzaldeck.standin.base import StandinBase
from quetzaldeck.standin.faults import VmListFaults

if TYPE_CHECKING:
    from quetzaldeck.standin.settings import VmListSettings


class _ListedVms(NamedTuple):
    """Body of ``POST /standin/vms``."""

    vms: tuple[VmEntry, ...]


class VmListStandin(StandinBase):
    """Serves a list of VMs; changes take effect after the configured lag."""

    def __init__(
        self, settings: VmListSettings, *, clock: Clock | None = None, **kwargs: Any
    ) -> None:
        super().__init__(settings.listen, **kwargs)
        self._settings = settings
        self._clock = clock or Clock()
        self._served = settings.vms
        self._pending: deque[tuple[float, tuple[VmEntry, ...]]] = deque()
        self.n_calls = 0
        self.is_down = settings.faults.is_down

    def set_vms(self, vms: tuple[VmEntry, ...]) -> None:
        """Change the list; readers see the change after the lag."""
        due_ms = self._clock.now_ms() + self._settings.lag_ms
        self._pending.append((due_ms, vms))

    async def open(self) -> web.Application:
        """Build the application."""
        return self.build_application(
            [
                web.get("/v1/vms", self._read),
                web.post("/standin/vms", self._replace_vms),
            ]
        )

    async def set_faults(self, data: Any) -> None:
        """Replace the persistent faults; see :meth:`StandinBase.set_faults`."""
        self.is_down = load_data(data, VmListFaults, "faults").is_down

    async def _replace_vms(self, request: web.Request) -> web.Response:
        """Replace the list on behalf of a test that runs in another process."""
        try:
            data = msgspec.json.decode(await request.read())
            listed = load_data({"vms": data}, _ListedVms, "vms")
        except (msgspec.DecodeError, FindingsError) as error:
            return json_response({"error": str(error)}, status=400)
        self.set_vms(listed.vms)
        return json_response({})

    async def _read(self, request: web.Request) -> web.Response:
        self.n_calls += 1
        if self.is_down:
            return web.Response(status=503)
        now_ms = self._clock.now_ms()
        while self._pending and self._pending[0][0] <= now_ms:
            self._served = self._pending.popleft()[1]
        return json_response(self._served)


__all__ = ("VmListStandin",)
