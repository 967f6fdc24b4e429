"""Measures the cost of sharing the store's updates between VMs as a zone grows.

Prints a row for each size: ``python -m tests.support.platform.sharing_cost``.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, NamedTuple

import click
import msgspec
import uvloop
from tests.support.platform.fleet import EntryFleet
from tests.support.platform.site import ENGINES

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from quetzaldeck.entry.peers import BeliefFeed
    from quetzaldeck.entry.peers.belief_update import BeliefUpdate

SIZES = (2, 4, 8, 16, 32)
MEASURED_S = 6.0
CHANGE_S = 1.0
N_REPLICAS = 50


class Cost(NamedTuple):
    """Mean rates over the measured time.

    :param store_calls: calls of all VMs to the store per second
    :param updates: updates sent to other VMs, per second and watcher
    :param update_bytes: bytes of their bodies, per second and watcher
    """

    n_vms: int
    n_watchers: int
    store_calls: float
    updates: float
    update_bytes: float


class UpdateCounter:
    """Counts the updates that one VM sends to others."""

    def __init__(self, feed: BeliefFeed) -> None:
        self.n_updates = 0
        self.n_bytes = 0
        self._wait_for_update: Callable[..., Awaitable[BeliefUpdate | None]] = (
            feed.wait_for_update
        )
        feed.wait_for_update = self._count  # type: ignore[method-assign, assignment]

    async def _count(self, *arguments: object) -> BeliefUpdate | None:
        update = await self._wait_for_update(*arguments)
        self.n_updates += 1
        self.n_bytes += len(msgspec.json.encode(update))
        return update


async def measure(n_vms: int) -> Cost:
    """:returns: rates in a zone of ``n_vms`` while one entry changes each second"""
    async with EntryFleet(n_vms) as fleet:
        for number in range(N_REPLICAS):
            fleet.put_replica(f"more{number}", ENGINES)
        await asyncio.sleep(2.0)
        watchers = fleet.list_watchers()
        counters = [UpdateCounter(fleet.vms[host].sources.feed) for host in watchers]
        n_before = fleet.store.n_calls
        for number in range(int(MEASURED_S / CHANGE_S)):
            state = ("draining", "ready")[number % 2]
            fleet.put_replica("e0", ENGINES, state=state)
            await asyncio.sleep(CHANGE_S)
        scale = MEASURED_S * len(watchers)
        return Cost(
            n_vms,
            len(watchers),
            (fleet.store.n_calls - n_before) / MEASURED_S,
            sum(counter.n_updates for counter in counters) / scale,
            sum(counter.n_bytes for counter in counters) / scale,
        )


@click.command()
def main() -> None:
    """Measure zones of all sizes."""
    click.echo("vms  watchers  store calls/s  updates/s  update bytes/s")
    for n_vms in SIZES:
        cost = uvloop.run(measure(n_vms))
        click.echo(
            f"{cost.n_vms:3}  {cost.n_watchers:8}  {cost.store_calls:13.1f}  "
            f"{cost.updates:9.1f}  {cost.update_bytes:14.0f}"
        )


if __name__ == "__main__":
    main()
