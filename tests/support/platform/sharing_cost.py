"""What sharing the store's news costs as a zone grows.

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
    """Rates over the measured time.

    :param store_calls: of all VMs together, a second
    :param told: answers to other VMs, a second and watcher
    :param told_bytes: bytes of their bodies, a second and watcher
    """

    n_vms: int
    n_watchers: int
    store_calls: float
    told: float
    told_bytes: float


class Counter:
    """Counts what one VM tells others."""

    def __init__(self, feed: BeliefFeed) -> None:
        self.n_told = 0
        self.n_bytes = 0
        self._ask: Callable[..., Awaitable[BeliefUpdate | None]] = feed.wait_for_update
        feed.wait_for_update = self._count  # type: ignore[method-assign, assignment]

    async def _count(self, *arguments: object) -> BeliefUpdate | None:
        news = await self._ask(*arguments)
        self.n_told += 1
        self.n_bytes += len(msgspec.json.encode(news))
        return news


async def measure(n_vms: int) -> Cost:
    """:returns: what a zone of ``n_vms`` costs while an entry changes each second"""
    async with EntryFleet(n_vms) as fleet:
        for number in range(N_REPLICAS):
            fleet.put_replica(f"more{number}", ENGINES)
        await asyncio.sleep(2.0)
        watchers = fleet.list_watchers()
        counters = [Counter(fleet.vms[host].sources.feed) for host in watchers]
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
            sum(counter.n_told for counter in counters) / scale,
            sum(counter.n_bytes for counter in counters) / scale,
        )


@click.command()
def main() -> None:
    """Measure all sizes."""
    click.echo("vms  watchers  store calls/s  told/s  told bytes/s")
    for n_vms in SIZES:
        cost = uvloop.run(measure(n_vms))
        click.echo(
            f"{cost.n_vms:3}  {cost.n_watchers:8}  {cost.store_calls:13.1f}  "
            f"{cost.told:6.1f}  {cost.told_bytes:12.0f}"
        )


if __name__ == "__main__":
    main()
