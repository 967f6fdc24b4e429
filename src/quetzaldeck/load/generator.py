"""Generates the load: calls arrive at random, independently of each other."""

from __future__ import annotations

import asyncio
import math
import random
from typing import TYPE_CHECKING

import msgspec

from quetzaldeck.http.answer_bounds import open_client
from quetzaldeck.load.caller import Caller

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.load.result import Result
    from quetzaldeck.load.settings import KindSettings, LoadSettings


async def run_load(settings: LoadSettings, clock: Clock) -> list[Result]:
    """Send the mix of calls and wait until all of them have ended.

    :returns: the result of each call
    """
    random_state = random.Random(settings.random_state)
    shares = [kind.share for kind in settings.kinds]
    end_ms = clock.now_ms() + settings.duration_ms
    async with open_client(limit=0) as client:
        caller = Caller(client, clock)
        tasks: list[asyncio.Task[Result]] = []
        while clock.now_ms() < end_ms:
            kind = random_state.choices(settings.kinds, shares)[0]
            gateway = random_state.choice(settings.gateways)
            n_tokens = draw_length(kind, random_state)
            tasks.append(asyncio.create_task(caller.run(gateway, kind, n_tokens)))
            await asyncio.sleep(random_state.expovariate(settings.requests_per_second))
        return await asyncio.gather(*tasks)


def draw_length(kind: KindSettings, random_state: random.Random) -> int:
    """:returns: a prompt length from a log-uniform distribution within the limits of
    ``kind``
    """
    low = math.log(kind.min_prompt_tokens)
    high = math.log(kind.max_prompt_tokens)
    return round(math.exp(random_state.uniform(low, high)))


async def read_executions(services: tuple[str, ...]) -> dict[str, int]:
    """:returns: executions of each idempotency key, summed over all replicas"""
    executions: dict[str, int] = {}
    async with open_client() as client:
        for address in services:
            async with client.get(address + "/standin/executions") as response:
                counts = msgspec.json.decode(await response.read(), type=dict[str, int])
            for key, n_runs in counts.items():
                executions[key] = executions.get(key, 0) + n_runs
    return executions


__all__ = ("draw_length", "read_executions", "run_load")
