"""Loads the settings of a program and runs its services until a signal stops it.

This module does not import the library for command lines, which an entry VM does not
need at its start.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from contextlib import AsyncExitStack
from typing import TYPE_CHECKING, Any, NoReturn, TextIO, TypeVar

import uvloop

from quetzaldeck.cli.exit_codes import ExitCode
from quetzaldeck.clock.clock import MS_PER_SECOND, Clock
from quetzaldeck.config import FindingsError, load_file
from quetzaldeck.tasks import run_tasks
from quetzaldeck.telemetry import LogWriter, configure_logging, log_event
from quetzaldeck.version import __version__

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine, Sequence
    from pathlib import Path

    from quetzaldeck.http import HttpServiceBase

T = TypeVar("T")

READ_AGAIN_MS = 20.0
"""Interval between two reads of a file that is being written."""


def print_findings(error: FindingsError) -> None:
    """Print all findings of a document to standard error, one per line."""
    for finding in error.findings:
        print(finding.render(), file=sys.stderr)
    print(f"{len(error.findings)} findings", file=sys.stderr)


def load_settings(path: Path, cls: type[T], *, patience_ms: float = 0.0) -> T:
    """Load the settings of a program, or exit the program if they have faults.

    :param patience_ms: time for which a faulty file is read again, as it may be written
        while the program starts
    """
    clock = Clock()
    given_up_ms = clock.now_ms() + patience_ms
    while True:
        try:
            return load_file(path, cls)
        except FindingsError as error:
            if clock.now_ms() >= given_up_ms:
                print_findings(error)
                sys.exit(ExitCode.BAD_SETTINGS)
        time.sleep(READ_AGAIN_MS / MS_PER_SECOND)


def run_services(
    *services: HttpServiceBase,
    background: Callable[[], Coroutine[Any, Any, None]] | None = None,
    log_stream: TextIO | None = None,
) -> NoReturn:
    """Run services until a signal stops the program.

    The first SIGTERM or SIGINT drains the services; a second one aborts the requests
    that are still in progress. SIGHUP is ignored, unless a service handles it.

    :param background: task that runs as long as the services
    :param log_stream: destination of log lines; standard error if ``None``
    """
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    with LogWriter(log_stream or sys.stderr) as writer:
        configure_logging(writer)
        log_event("started", version=__version__)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            n_aborted = runner.run(_serve_until_stopped(services, background))
    sys.exit(ExitCode.REQUESTS_ABORTED if n_aborted else ExitCode.OK)


async def _serve_until_stopped(
    services: Sequence[HttpServiceBase],
    background: Callable[[], Coroutine[Any, Any, None]] | None,
) -> int:
    # A signal that comes while the services start finds requests in progress already.
    signals = _collect_stop_signals()
    async with AsyncExitStack() as stack:
        await asyncio.gather(*map(stack.enter_async_context, services))
        tasks = () if background is None else (background(),)
        await stack.enter_async_context(run_tasks(*tasks))
        return await _drain_when_stopped(signals, services)


def _collect_stop_signals() -> asyncio.Queue[signal.Signals]:
    signals: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, signals.put_nowait, number)
    return signals


async def _drain_when_stopped(
    signals: asyncio.Queue[signal.Signals], services: Sequence[HttpServiceBase]
) -> int:
    received = await signals.get()
    log_event("stopping", signal=received.name)
    aborting = asyncio.create_task(_abort_on_signal(signals, services))
    try:
        counts = await asyncio.gather(*(service.drain() for service in services))
    finally:
        aborting.cancel()
    log_event("stopped", n_cut_off=sum(counts))
    return sum(counts)


async def _abort_on_signal(
    signals: asyncio.Queue[signal.Signals], services: Sequence[HttpServiceBase]
) -> None:
    received = await signals.get()
    log_event("cutting_off", level="WARNING", signal=received.name)
    for service in services:
        service.abort_drain()


__all__ = ("load_settings", "print_findings", "run_services")
