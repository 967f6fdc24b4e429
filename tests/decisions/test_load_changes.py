"""Tests of which load changes a VM sends to the others, and when.

If 84 VMs sent each other four updates for each request, the fleet would exchange some
25,000 datagrams a second, which would be most of its work.
"""

from __future__ import annotations

import random

import pytest

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.load_changes import (
    REFRESH_INTERVAL_MS,
    LoadChanges,
    max_send_delay_ms,
)
from quetzaldeck.decisions.loads.peer_load import PEER_LOAD_TTL_MS, PeerLoad, VmLoad

N_PEERS = 83
SENT = VmLoad(1, 5_000, 6_000)
PREFILLED = VmLoad(1, 0, 6_000)
DONE = VmLoad(outcomes=Outcomes(1.0, 0.0))
TICK_MS = 20.0


def count_messages(n_peers: int, *, seconds: int = 60) -> int:
    """:returns: messages sent by a VM that gets about one request a second"""
    changes = LoadChanges()
    random_state = random.Random(1)
    events: list[tuple[float, str, VmLoad]] = []
    for number in range(seconds):
        at_ms = number * 1_000.0 + random_state.uniform(0.0, 900.0)
        name = f"e{number % 7}"
        events += [
            (at_ms, name, SENT),
            (at_ms + 100.0, name, PREFILLED),
            (at_ms + 1_600.0, name, DONE),
        ]
    events.sort()
    loads: dict[str, VmLoad] = {}
    n_messages = 0
    for tick in range(int(seconds * 1_000 / TICK_MS)):
        now_ms = tick * TICK_MS
        while events and events[0][0] <= now_ms:
            _, name, load = events.pop(0)
            loads[name] = load
        n_messages += bool(changes.select_due(loads.items(), now_ms, n_peers))
    return n_messages


def test_large_fleet_sends_fewer_messages() -> None:
    few, many = count_messages(6), count_messages(N_PEERS)
    assert few > 2.8 * 60
    assert many < 0.8 * few


@pytest.mark.parametrize("n_peers", [1, 6, N_PEERS])
def test_increase_is_sent_at_once(n_peers: int) -> None:
    changes = LoadChanges()
    assert changes.select_due([("e0", SENT)], 0.0, n_peers) == [("e0", SENT)]
    more = SENT._replace(n_requests=2)
    assert changes.select_due([("e0", more)], 5.0, n_peers) == [("e0", more)]


def test_decrease_is_sent_after_the_delay_or_with_an_urgent_change() -> None:
    changes = LoadChanges()
    changes.select_due([("e0", SENT)], 0.0, N_PEERS)
    assert not changes.select_due([("e0", PREFILLED)], 100.0, N_PEERS)
    assert changes.has_unsent
    due_ms = 100.0 + max_send_delay_ms(N_PEERS)
    assert changes.select_due([("e0", PREFILLED)], due_ms, N_PEERS) == [
        ("e0", PREFILLED)
    ]
    assert not changes.has_unsent
    assert not changes.select_due([("e0", DONE), ("e1", VmLoad())], 900.0, N_PEERS)
    both = changes.select_due([("e0", DONE), ("e1", SENT)], 910.0, N_PEERS)
    assert both == [("e0", DONE), ("e1", SENT)]


def test_end_of_a_prompt_part_is_sent_at_once() -> None:
    """The next long prompt skips engines that still seem to prefill a part."""
    changes = LoadChanges()
    part = VmLoad(1, 9_000, 0, n_parts=1)
    changes.select_due([("e0", part)], 0.0, N_PEERS)
    assert changes.select_due([("e0", VmLoad())], 100.0, N_PEERS)


def test_small_fleet_sends_all_changes_at_once() -> None:
    changes = LoadChanges()
    changes.select_due([("e0", SENT)], 0.0, 6)
    assert changes.select_due([("e0", PREFILLED)], 20.0, 6) == [("e0", PREFILLED)]


def test_change_reverted_during_the_delay_is_not_sent() -> None:
    changes = LoadChanges()
    changes.select_due([("e0", SENT)], 0.0, N_PEERS)
    assert not changes.select_due([("e0", PREFILLED)], 100.0, N_PEERS)
    assert not changes.select_due([("e0", SENT)], 120.0, N_PEERS)
    assert not changes.has_unsent


def test_unchanged_load_does_not_expire_if_one_message_is_lost() -> None:
    changes = LoadChanges()
    peers = PeerLoad()
    for tick in range(int(20_000 / TICK_MS)):
        now_ms = tick * TICK_MS
        sent = changes.select_due([("e0", SENT)], now_ms, N_PEERS)
        is_lost = REFRESH_INTERVAL_MS <= now_ms < 2 * REFRESH_INTERVAL_MS
        if sent and not is_lost:
            peers.update("vm", SENT, now_ms)
        assert peers.total(now_ms).n_requests == 1
    assert PEER_LOAD_TTL_MS > 2 * REFRESH_INTERVAL_MS


def test_refusal_to_help_is_sent_at_once_and_refreshed() -> None:
    """If a refusal were delayed or expired, other VMs would name the engine again."""
    refusing = SENT._replace(refuses_help=True)
    idle = VmLoad()
    for before, after in ((SENT, refusing), (idle, idle._replace(refuses_help=True))):
        changes = LoadChanges()
        changes.select_due([("e0", before)], 0.0, N_PEERS)
        assert changes.select_due([("e0", after)], 20.0, N_PEERS) == [("e0", after)]
        again_ms = 20.0 + REFRESH_INTERVAL_MS
        assert changes.select_due([("e0", after)], again_ms, N_PEERS) == [("e0", after)]
