"""Stand-in for the platform's configuration service."""

from __future__ import annotations

import asyncio
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from aiohttp import web

from quetzaldeck.config import load_data
from quetzaldeck.directory.http import REVISION_HEADER
from quetzaldeck.standin.base import StandinBase
from quetzaldeck.standin.faults import ConfigurationFaults

if TYPE_CHECKING:
    from quetzaldeck.standin.settings import ConfigurationServiceSettings

BUNDLE_KEY = "bundle"
FILE_POLL_MS = 200.0


class ConfigurationServiceStandin(StandinBase):
    """Serves values that clients read and watch; counts all calls."""

    def __init__(self, settings: ConfigurationServiceSettings, **kwargs: Any) -> None:
        super().__init__(settings.listen, **kwargs)
        self._settings = settings
        self._values: dict[str, list[bytes]] = {}
        self._changed = asyncio.Condition()
        self._task: asyncio.Task[None] | None = None
        self.n_calls = 0
        self.n_waiting = 0
        self._n_silence_calls = 0
        self.is_down = settings.faults.is_down
        self.n_revisions_behind = settings.faults.n_revisions_behind
        self.hangs_watch = settings.faults.hangs_watch

    async def publish(self, value: bytes, key: str = BUNDLE_KEY) -> None:
        """Add a revision of a value, as operators do with their own tools."""
        async with self._changed:
            self._values.setdefault(key, []).append(value)
            self._changed.notify_all()

    def restore(self, value: bytes, key: str = BUNDLE_KEY) -> None:
        """Simulate a restore from a backup: ``value`` becomes the only revision."""
        self._values[key] = [value]

    async def set_faults(self, data: Any) -> None:
        """Replace the persistent faults; see :meth:`StandinBase.set_faults`."""
        faults = load_data(data, ConfigurationFaults, "faults")
        self.is_down = faults.is_down
        self.n_revisions_behind = faults.n_revisions_behind
        self.hangs_watch = faults.hangs_watch
        async with self._changed:
            self._changed.notify_all()

    def silence_watches(self) -> None:
        """Never answer the watches that are open now; new calls are answered."""
        self._n_silence_calls += 1

    async def open(self) -> web.Application:
        """Build the application; follow the bundle file if one is configured."""
        if self._settings.bundle_file is not None:
            self._task = asyncio.create_task(self._follow_file())
        return self.build_application(
            [
                web.get("/v1/keys/{key}", self._read),
                web.route("*", "/v1/keys/{key}", self._refuse_write),
            ]
        )

    async def close(self) -> None:
        """Stop following the bundle file."""
        await super().close()
        if self._task is not None:
            self._task.cancel()
            with suppress(asyncio.CancelledError):
                await self._task

    async def _read(self, request: web.Request) -> web.Response:
        self.n_calls += 1
        if self.is_down:
            return web.Response(status=503)
        key = request.match_info["key"]
        after = int(request.query.get("after", "0"))
        timeout_ms = float(request.query.get("timeout_ms", "0"))
        if timeout_ms and self.hangs_watch:
            await asyncio.get_running_loop().create_future()
        if timeout_ms:
            await self._wait_for_newer(key, after, timeout_ms)
        revision = self._served_revision(key)
        if revision == 0:
            return web.Response(status=404)
        if revision <= after:
            return web.Response(status=304)
        value = self._values[key][revision - 1]
        return web.Response(body=value, headers={REVISION_HEADER: str(revision)})

    def _served_revision(self, key: str) -> int:
        return max(0, len(self._values.get(key, ())) - self.n_revisions_behind)

    async def _wait_for_newer(self, key: str, after: int, timeout_ms: float) -> None:
        n_silence_calls = self._n_silence_calls
        self.n_waiting += 1
        try:
            async with asyncio.timeout(timeout_ms / 1_000), self._changed:
                await self._changed.wait_for(lambda: self._served_revision(key) > after)
        except TimeoutError:
            pass
        finally:
            self.n_waiting -= 1
        if n_silence_calls != self._n_silence_calls:
            await asyncio.Event().wait()

    async def _refuse_write(self, request: web.Request) -> web.Response:
        self.n_calls += 1
        return web.Response(status=405, text="this service can only be read")

    async def _follow_file(self) -> None:
        path = self._settings.bundle_file
        assert path is not None
        published = b""
        while True:
            with suppress(OSError):
                value = path.read_bytes()
                if value and value != published:
                    published = value
                    await self.publish(value)
            await asyncio.sleep(FILE_POLL_MS / 1_000)


__all__ = ("BUNDLE_KEY", "ConfigurationServiceStandin")
