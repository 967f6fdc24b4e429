"""Replicas that start again under their id, and entries of another writer."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from tests.support.platform.site import (
    BOOK_PATH,
    DESK,
    LOOK_PATH,
    build_entry,
    run_site,
)

from quetzaldeck.entry.settings import EntryBounds

if TYPE_CHECKING:
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

N_CALLS = 12
FOREIGN = "servers/foreign"


class Crashing:
    """A replica that breaks off what it runs, until it starts again."""

    def __init__(self) -> None:
        self.is_down = True

    async def __call__(self, arrival: Arrival, connection: Connection) -> None:
        if self.is_down:
            connection.close()
        else:
            await connection.answer(arrival)


def test_replica_that_started_again_serves_at_once() -> None:
    """A booking is refused for seconds though its only replica is back.

    The replica crashes with two bookings on board and is left alone as a dead one. It
    starts again under its id; the verdict on its former start has to go with it.
    """
    crashing = Crashing()

    async def test(site: Site) -> None:
        desk = site.desks[0]
        entry = build_entry(DESK, desk.address, born=1_000)
        site.store.put(f"servers/{desk.replica_id}", entry)
        state = site.entry.session.state
        await site.wait(lambda: state.belief.replicas["d0"].started_ms == 1_000)
        for _ in range(2):
            assert (await site.call(BOOK_PATH)).status == 502
        assert len(desk.calls) == 2
        crashing.is_down = False
        site.store.put(f"servers/{desk.replica_id}", {**entry, "born": 2_000})
        await site.wait(lambda: state.belief.replicas["d0"].started_ms == 2_000)
        assert (await site.call(BOOK_PATH)).status == 200

    run_site(test, desks=(crashing,))


def test_entries_of_another_writer_change_nothing_for_callers() -> None:
    """Every caller in two is answered by nobody.

    Another writer puts entries beside those of the replicas: of a state and a service
    that do not exist, of wrong types, without an address, and bytes that are no text.
    """

    async def test(site: Site) -> None:
        sound = build_entry(DESK, "127.0.0.1:9")
        foreign = [
            {**sound, "state": "asleep"},
            {**sound, "service": "nowhere"},
            {**sound, "slots": "many"},
            {"service": DESK},
            [sound],
            None,
        ]
        for number, entry in enumerate(foreign):
            site.store.put(f"{FOREIGN}{number}", entry)
        site.store.put(f"{FOREIGN}9", b"\xff\xfe{")
        await asyncio.sleep(0.5)
        calls = [site.call(LOOK_PATH) for _ in range(N_CALLS)]
        assert {answer.status for answer in await asyncio.gather(*calls)} == {200}
        assert len(site.desks[0].calls) == N_CALLS

    run_site(test, bounds=EntryBounds(retry_ratio=0.0))
