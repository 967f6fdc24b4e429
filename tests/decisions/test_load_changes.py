"""What a VM tells the others of its load, and when.

Eighty-four VMs tell each other four things of each request: some 25,000 datagrams a
second, which are most of what all of them do.
"""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.load_changes import (
    REFRESH_INTERVAL_MS,
    LoadChanges,
    max_send_delay_ms,
)
from quetzaldeck.decisions.peer_load import PEER_LOAD_TTL_MS, PeerLoad, VmLoad

N_PEERS = 83
SENT = VmLoad(1, 5_000, 6_000)
BEGUN = VmLoad(1, 0, 6_000)
DONE = VmLoad(outcomes=Outcomes(1.0, 0.0))
TICK_MS = 20.0


def play(n_peers: int, *, seconds: int = 60) -> int:
    """:returns: messages of a VM that gets about one request a second"""
    changes = LoadChanges()
    random_state = random.Random(1)
    events: list[tuple[float, str, VmLoad]] = []
    for number in range(seconds):
        at_ms = number * 1_000.0 + random_state.uniform(0.0, 900.0)
        name = f"e{number % 7}"
        events += [
            (at_ms, name, SENT),
            (at_ms + 100.0, name, BEGUN),
            (at_ms + 1_600.0, name, DONE),
        ]
    events.sort()
    shares: dict[str, VmLoad] = {}
    n_messages = 0
    for tick in range(int(seconds * 1_000 / TICK_MS)):
        now_ms = tick * TICK_MS
        while events and events[0][0] <= now_ms:
            _, name, share = events.pop(0)
            shares[name] = share
        n_messages += bool(changes.take(shares.items(), now_ms, n_peers))
    return n_messages


def test_large_fleet_is_told_less_often() -> None:
    few, many = play(6), play(N_PEERS)
    assert few > 2.8 * 60
    assert many < 0.8 * few


@pytest.mark.parametrize("n_peers", [1, 6, N_PEERS])
def test_more_work_is_told_at_once(n_peers: int) -> None:
    changes = LoadChanges()
    assert changes.take([("e0", SENT)], 0.0, n_peers) == [("e0", SENT)]
    more = SENT._replace(n_requests=2)
    assert changes.take([("e0", more)], 5.0, n_peers) == [("e0", more)]


def test_less_work_is_told_after_a_moment_or_with_what_is_urgent() -> None:
    changes = LoadChanges()
    changes.take([("e0", SENT)], 0.0, N_PEERS)
    assert not changes.take([("e0", BEGUN)], 100.0, N_PEERS)
    assert changes.has_unsent
    due_ms = 100.0 + max_send_delay_ms(N_PEERS)
    assert changes.take([("e0", BEGUN)], due_ms, N_PEERS) == [("e0", BEGUN)]
    assert not changes.has_unsent
    assert not changes.take([("e0", DONE), ("e1", VmLoad())], 900.0, N_PEERS)
    both = changes.take([("e0", DONE), ("e1", SENT)], 910.0, N_PEERS)
    assert both == [("e0", DONE), ("e1", SENT)]


def test_part_of_a_long_prompt_that_is_read_is_told_at_once() -> None:
    """The next long prompt leaves out engines that seem to read one still."""
    changes = LoadChanges()
    part = VmLoad(1, 9_000, 0, n_parts=1)
    changes.take([("e0", part)], 0.0, N_PEERS)
    assert changes.take([("e0", VmLoad())], 100.0, N_PEERS)


def test_few_vms_are_told_everything_at_once() -> None:
    changes = LoadChanges()
    changes.take([("e0", SENT)], 0.0, 6)
    assert changes.take([("e0", BEGUN)], 20.0, 6) == [("e0", BEGUN)]


def test_change_that_is_undone_before_it_is_told_is_not_told() -> None:
    changes = LoadChanges()
    changes.take([("e0", SENT)], 0.0, N_PEERS)
    assert not changes.take([("e0", BEGUN)], 100.0, N_PEERS)
    assert not changes.take([("e0", SENT)], 120.0, N_PEERS)
    assert not changes.has_unsent


def test_load_that_holds_is_not_forgotten_if_one_message_is_lost() -> None:
    changes = LoadChanges()
    peers = PeerLoad()
    for tick in range(int(20_000 / TICK_MS)):
        now_ms = tick * TICK_MS
        told = changes.take([("e0", SENT)], now_ms, N_PEERS)
        is_lost = REFRESH_INTERVAL_MS <= now_ms < 2 * REFRESH_INTERVAL_MS
        if told and not is_lost:
            peers.take("vm", SENT, now_ms)
        assert peers.total(now_ms).n_requests == 1
    assert PEER_LOAD_TTL_MS > 2 * REFRESH_INTERVAL_MS


def test_refusal_to_help_is_told_at_once_and_again_until_it_is_over() -> None:
    """Others name an engine that refuses: the word of it waits, or is forgotten."""
    refusing = SENT._replace(refuses_help=True)
    idle = VmLoad()
    for before, after in ((SENT, refusing), (idle, idle._replace(refuses_help=True))):
        changes = LoadChanges()
        changes.take([("e0", before)], 0.0, N_PEERS)
        assert changes.take([("e0", after)], 20.0, N_PEERS) == [("e0", after)]
        again_ms = 20.0 + REFRESH_INTERVAL_MS
        assert changes.take([("e0", after)], again_ms, N_PEERS) == [("e0", after)]
