"""Background tasks owned by a context manager."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING, Any

from quetzaldeck.telemetry.log import log_event

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Coroutine


@asynccontextmanager
async def run_tasks(*coroutines: Coroutine[Any, Any, None]) -> AsyncIterator[None]:
    """Run coroutines for as long as the context is open.

    The tasks are cancelled when the context closes. A task that fails earlier is
    logged at once; otherwise the function that it provides would stop unnoticed.
    """
    tasks = [asyncio.create_task(coroutine) for coroutine in coroutines]
    for task in tasks:
        task.add_done_callback(_log_failure)
    try:
        yield
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _log_failure(task: asyncio.Task[None]) -> None:
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        coroutine = task.get_coro()
        name = getattr(coroutine, "__qualname__", "task")
        log_event("task_died", level="ERROR", task=name, error=repr(error))


__all__ = ("run_tasks",)
