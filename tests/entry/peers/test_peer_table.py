"""The table of known VMs: discovery, expiry and validation of addresses."""

from __future__ import annotations

import random

import pytest

from quetzaldeck.entry.peers import PeerTable
from quetzaldeck.entry.peers.greetings import N_GREETED
from quetzaldeck.entry.peers.table import PEER_TTL_MS, UNKNOWN_CAPACITY

SEEDS = ("10.0.0.0", "10.0.0.1", "10.0.0.2")


def make_table(own: str, seed: int = 0) -> PeerTable:
    return PeerTable(own, SEEDS, random_state=random.Random(seed))


def greet_all(tables: dict[str, PeerTable], now_ms: float) -> None:
    """Send one round of greetings from every VM."""
    for own, table in tables.items():
        known = table.sample_heard(0.0)
        for address in table.choose_greeted(N_GREETED):
            other = tables.get(address)
            if other is not None:
                other.note_heard(own, now_ms)
                other.note_reported(known, now_ms)


@pytest.mark.parametrize("n_vms", [2, 7, 84])
def test_all_know_each_other_within_seconds(n_vms: int) -> None:
    tables = {
        f"10.0.0.{index}": make_table(f"10.0.0.{index}", index)
        for index in range(n_vms)
    }
    for step in range(20):
        greet_all(tables, step * 500.0)
    assert min(len(table) for table in tables.values()) == n_vms - 1


def test_dead_vm_expires_even_though_others_report_it() -> None:
    tables = {f"10.0.0.{index}": make_table(f"10.0.0.{index}") for index in range(7)}
    for step in range(10):
        greet_all(tables, step * 500.0)
    del tables["10.0.0.6"]
    now_ms = 5_000.0
    while now_ms < 5_000 + 4 * PEER_TTL_MS:
        for table in tables.values():
            table.expire(now_ms)
        greet_all(tables, now_ms)
        now_ms += 500
    assert all("10.0.0.6" not in table.addresses for table in tables.values())


def test_own_address_is_no_peer() -> None:
    table = make_table("10.0.0.1")
    table.note_reported({"a": {"10.0.0.1": 0.5}}, 0.0)
    assert not table.note_heard("10.0.0.1", 0.0)
    assert not table.addresses
    assert "10.0.0.1" not in table.choose_greeted(3)


def test_invalid_addresses_are_ignored() -> None:
    """Guards against one faulty datagram that ends all sending of a VM."""
    table = make_table("10.0.0.1")
    known = {"a": {"": 0.5, "10.0.0": 0.5, "host.example": 0.5, "10.0.0.9": -1.0}}
    table.note_reported(known, 0.0)
    assert table.addresses == ("10.0.0.9",)
    assert table.list_capacities() == {"a": {"10.0.0.9": UNKNOWN_CAPACITY}}


def test_vms_are_listed_by_availability_zone() -> None:
    table = make_table("10.0.0.1")
    table.note_heard("10.0.0.5", 0.0, "a")
    table.note_reported({"a": {"10.0.0.6": 0.5}, "b": {"10.0.0.7": 0.25}}, 0.0)
    assert sorted(table.list_zone("a")) == ["10.0.0.5", "10.0.0.6"]
    assert sorted(table.list_others("a")) == ["10.0.0.7"]
    assert sorted(table.unknown_seeds) == ["10.0.0.0", "10.0.0.2"]
    assert table.sample_heard(0.0) == {"a": {"10.0.0.5": 0.0}}
    assert table.list_capacities() == {
        "a": {"10.0.0.5": UNKNOWN_CAPACITY, "10.0.0.6": 0.5},
        "b": {"10.0.0.7": 0.25},
    }
    table.expire(2 * PEER_TTL_MS)
    assert not table.list_zone("a")
