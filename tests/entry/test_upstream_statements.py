"""An entry VM in front of replicas that ask for rest, or say that they leave."""

from __future__ import annotations

import asyncio
from collections import Counter
from typing import TYPE_CHECKING

from tests.support.platform.site import BOOK_PATH, run_site

from quetzaldeck.decisions.availability import ClosureCause

if TYPE_CHECKING:
    from tests.support.platform.site import Site

REST_S = 3.0
INTERVAL_S = 0.05


async def send(site: Site, duration_s: float) -> Counter[int]:
    """Send calls at a steady rate.

    :returns: the number of answers by status
    """
    calls = []
    for _ in range(round(duration_s / INTERVAL_S)):
        calls.append(asyncio.create_task(site.call(BOOK_PATH)))
        await asyncio.sleep(INTERVAL_S)
    return Counter(answer.status for answer in await asyncio.gather(*calls))


def test_replica_that_asks_for_rest_gets_nothing_until_it_ends() -> None:
    """Guards against requests to an idle-looking replica that has asked for rest."""

    async def test(site: Site) -> None:
        resting = site.desks[0]
        resting.rest = f"{REST_S:g}"
        statuses = await send(site, REST_S - 0.5)
        assert statuses == {200: statuses.total()}
        assert len(resting.calls) == 1
        closure = site.entry.session.state.dispatch.find_closure("d0")
        assert closure is not None
        assert closure.cause is ClosureCause.RESTING
        resting.rest = ""
        await send(site, 1.5)
        assert len(resting.calls) > 1

    run_site(test, desks=(None, None, None))


def test_replica_that_says_it_leaves_gets_nothing_more() -> None:
    """Guards against requests to a replica whose entry in the store says ready."""

    async def test(site: Site) -> None:
        leaving = site.desks[0]
        leaving.is_leaving = True
        statuses = await send(site, 2.0)
        assert statuses == {200: statuses.total()}
        assert len(leaving.calls) == 1

    run_site(test, desks=(None, None, None))
