"""Replicas that restart under the same id, and entries written by other programs."""

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
OTHER_PROGRAM_PREFIX = "servers/foreign"


class CrashingReplica:
    """A replica that closes connections without a response until it restarts."""

    def __init__(self) -> None:
        self.is_down = True

    async def __call__(self, arrival: Arrival, connection: Connection) -> None:
        if self.is_down:
            connection.close()
        else:
            await connection.answer(arrival)


def test_restarted_replica_serves_at_once() -> None:
    """Guards against refusing requests for seconds after their replica restarted.

    The replica crashes while it runs two bookings and is excluded as dead. When it
    restarts under the same id, the new incarnation must not inherit the exclusion.
    """
    crashing = CrashingReplica()

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


def test_entries_of_a_foreign_writer_do_not_affect_callers() -> None:
    """Guards against requests to replicas that do not exist.

    Another program adds entries to those of the replicas: with an unknown state or
    service, with wrong types, without an address, and bytes that are not valid UTF-8.
    """

    async def test(site: Site) -> None:
        valid = build_entry(DESK, "127.0.0.1:9")
        other_entries = [
            {**valid, "state": "asleep"},
            {**valid, "service": "nowhere"},
            {**valid, "slots": "many"},
            {"service": DESK},
            [valid],
            None,
        ]
        for number, entry in enumerate(other_entries):
            site.store.put(f"{OTHER_PROGRAM_PREFIX}{number}", entry)
        site.store.put(f"{OTHER_PROGRAM_PREFIX}9", b"\xff\xfe{")
        await asyncio.sleep(0.5)
        calls = [site.call(LOOK_PATH) for _ in range(N_CALLS)]
        assert {answer.status for answer in await asyncio.gather(*calls)} == {200}
        assert len(site.desks[0].calls) == N_CALLS

    run_site(test, bounds=EntryBounds(retry_ratio=0.0))
