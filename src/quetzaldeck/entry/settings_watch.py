"""Reloads the settings file when it changes, or at once on SIGHUP."""

from __future__ import annotations

import asyncio
import signal
from typing import TYPE_CHECKING, TypeVar

from quetzaldeck.config import FindingsError, load_text
from quetzaldeck.telemetry import log_event

if TYPE_CHECKING:
    from collections.abc import Callable
    from pathlib import Path

T = TypeVar("T")

POLL_INTERVAL_MS = 1_000.0
"""Interval between two checks: operators expect a change to apply within seconds."""


class SettingsWatch:
    """Reloads a settings file that has changed; invalid settings are ignored.

    :param path: the file
    :param cls: class of the settings
    :param settings: the settings read at start
    :param apply: called with changed settings
    """

    def __init__(
        self, path: Path, cls: type[T], settings: T, apply: Callable[[T], None]
    ) -> None:
        self._path = path
        self._cls = cls
        self._settings = settings
        self._apply = apply
        # The file may have changed since the settings were read, so it is read again.
        self._last_text: str | None = None
        self._reload_requested = asyncio.Event()

    async def run(self) -> None:
        """Check the file at intervals until cancelled, and at once on SIGHUP."""
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, self._reload_requested.set)
        try:
            self.reload_if_changed()
            while True:
                try:
                    async with asyncio.timeout(POLL_INTERVAL_MS / 1_000):
                        await self._reload_requested.wait()
                    log_event("reload_asked", signal="SIGHUP")
                except TimeoutError:
                    pass
                self._reload_requested.clear()
                self.reload_if_changed()
        finally:
            _ignore_hang_up(loop)

    def reload_if_changed(self) -> None:
        """Load the file and apply its settings if its content has changed."""
        text = self._read()
        if text is None or text == self._last_text:
            return
        self._last_text = text
        try:
            # The file is not read again: it may hold another text by now.
            settings = load_text(
                text, self._cls, self._path.name, base=self._path.parent
            )
        except FindingsError as error:
            for finding in error.findings:
                log_event("settings_faulty", level="ERROR", finding=finding.render())
            return
        if settings != self._settings:
            self._settings = settings
            log_event("settings_reloaded", path=self._path.name)
            self._apply(settings)

    def _read(self) -> str | None:
        """:returns: the content of the file; ``None`` if it cannot be read"""
        try:
            return self._path.read_text(encoding="utf-8")
        except (OSError, UnicodeDecodeError) as error:
            log_event("settings_unreadable", level="WARNING", error=repr(error))
            return None


def _ignore_hang_up(loop: asyncio.AbstractEventLoop) -> None:
    """Replace the handler of SIGHUP, so that it does not end a process that stops.

    A loop that removes a handler sets the default action, so the signal is blocked
    until it is ignored.
    """
    before = signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    try:
        loop.remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
    finally:
        signal.pthread_sigmask(signal.SIG_SETMASK, before)


__all__ = ("SettingsWatch",)
