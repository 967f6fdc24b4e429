"""Reloading of a settings file that changes while the program runs."""

from __future__ import annotations

import asyncio
import os
import signal
from pathlib import Path

import pytest
import uvloop

from quetzaldeck.config import load_file
from quetzaldeck.entry import settings_watch
from quetzaldeck.entry.settings import EntrySettings
from quetzaldeck.entry.settings_watch import SettingsWatch

TEXT = """\
vm: a
availability_zone: z
listen: {callers: "127.0.0.1:1", readiness: "127.0.0.1:2"}
store_address: "127.0.0.1:3"
bounds: {leaving_ms: 2000}
"""


def watch(path: Path, change: str, *, has_signal: bool) -> list[EntrySettings]:
    """:returns: the settings applied after the file was changed"""
    path.write_text(TEXT)
    applied: list[EntrySettings] = []
    settings = load_file(path, EntrySettings)

    async def run() -> None:
        task = asyncio.create_task(
            SettingsWatch(path, EntrySettings, settings, applied.append).run()
        )
        await asyncio.sleep(0.05)
        await asyncio.to_thread(path.write_text, change)
        if has_signal:
            os.kill(os.getpid(), signal.SIGHUP)
        await asyncio.sleep(0.3)
        task.cancel()

    uvloop.run(run())
    return applied


def test_signal_reloads_at_once(tmp_path: Path) -> None:
    """Guards against a VM that SIGHUP terminates, because nothing handles it."""
    changed = TEXT.replace("2000", "3000")
    applied = watch(tmp_path / "s.yaml", changed, has_signal=True)
    assert [settings.bounds.leaving_ms for settings in applied] == [3_000]


def test_change_without_a_signal_is_applied(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(settings_watch, "POLL_INTERVAL_MS", 50.0)
    changed = TEXT.replace("2000", "3000")
    assert len(watch(tmp_path / "s.yaml", changed, has_signal=False)) == 1


@pytest.mark.parametrize("faulty", ["vm: [", "", TEXT.replace("2000", "soon")])
def test_invalid_settings_leave_the_last_valid_ones(
    tmp_path: Path, faulty: str
) -> None:
    assert not watch(tmp_path / "s.yaml", faulty, has_signal=True)


def test_signal_without_a_change_changes_nothing(tmp_path: Path) -> None:
    assert not watch(tmp_path / "s.yaml", TEXT, has_signal=True)


def test_change_between_reading_and_watching_is_applied(tmp_path: Path) -> None:
    """Guards against a change during the start that no later look at the file shows."""
    path = tmp_path / "s.yaml"
    path.write_text(TEXT)
    applied: list[EntrySettings] = []
    settings = load_file(path, EntrySettings)
    path.write_text(TEXT.replace("2000", "3000"))

    async def run() -> None:
        watch = SettingsWatch(path, EntrySettings, settings, applied.append)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.05)
        task.cancel()

    uvloop.run(run())
    assert [changed.bounds.leaving_ms for changed in applied] == [3_000]


CHANGED = TEXT.replace("2000", "3000")
LATER = TEXT.replace("2000", "4000")
READS: dict[str, list[str | None]] = {
    "written_twice": [CHANGED, "", CHANGED],
    "missing": [None, CHANGED],
    "half_written": [TEXT[:40], CHANGED],
    "half_written_twice": ["", CHANGED[:-9], "", CHANGED],
    "invalid": [TEXT.replace("2000", "soon"), CHANGED],
    "changed_again": [LATER, "", CHANGED[:40], CHANGED],
}
"""What the file holds each time it is read; ``None``: it does not exist."""


@pytest.mark.parametrize("name", READS)
def test_change_is_applied_whatever_the_file_held_while_it_was_written(
    tmp_path: Path, monkeypatch: pytest.MonkeyPatch, name: str
) -> None:
    """Guards against a change that is never applied, as the file was being written.

    SIGHUP comes after each read, so that several changes follow each other.
    """
    path = tmp_path / "s.yaml"
    path.write_text(TEXT)
    settings = load_file(path, EntrySettings)
    texts = list(READS[name])

    def read_text(_: Path, encoding: str = "") -> str:
        os.kill(os.getpid(), signal.SIGHUP)
        text = texts.pop(0) if len(texts) > 1 else texts[0]
        if text is None:
            raise FileNotFoundError(path)
        return text

    monkeypatch.setattr(Path, "read_text", read_text)
    monkeypatch.setattr(Path, "read_bytes", lambda self: read_text(self).encode())
    applied: list[EntrySettings] = []

    async def run() -> None:
        watch = SettingsWatch(path, EntrySettings, settings, applied.append)
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.1)
        task.cancel()

    uvloop.run(run())
    assert applied[-1].bounds.leaving_ms == 3_000
