"""Records that VMs publish, merge and pass on."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import pytest

from quetzaldeck.dissemination import (
    RecordDraft,
    RecordError,
    RecordLimits,
    RecordStore,
)

if TYPE_CHECKING:
    from quetzaldeck.clock import ManualClock


class Usage(NamedTuple):
    n_tokens: int


def make_store(clock: ManualClock, vm: str, **limits: int) -> RecordStore:
    return RecordStore(vm, f"{vm}.1", clock, RecordLimits(**limits))


def make_draft(
    key: str, n_tokens: int = 0, ttl_ms: int = 1_000, *, is_urgent: bool = False
) -> RecordDraft:
    return RecordDraft("usage", key, Usage(n_tokens), ttl_ms, is_urgent)


def test_a_record_reaches_others_and_expires(clock: ManualClock) -> None:
    a, b, c = (make_store(clock, vm) for vm in "abc")
    a.put(make_draft("club", 7))
    clock.advance(400)
    b.merge(a.take_records(3))
    clock.advance(400)
    c.merge(b.take_records(3))
    assert c.list_values("usage", Usage) == (Usage(7),)
    clock.advance(200)
    assert c.list_values("usage", Usage) == ()


def test_the_highest_sequence_wins_in_any_order_of_arrival(clock: ManualClock) -> None:
    a, b = make_store(clock, "a"), make_store(clock, "b")
    a.put(make_draft("club", 1))
    first = a.take_records(2)
    a.put(make_draft("club", 2))
    second = a.take_records(2)
    b.merge(second)
    assert b.merge(first) == ()
    assert b.list_values("usage", Usage) == (Usage(2),)


def test_only_the_owner_changes_a_record(clock: ManualClock) -> None:
    a, b = make_store(clock, "a"), make_store(clock, "b")
    a.put(make_draft("club", 1))
    forged = a.take_records(2)[0]._replace(sequence=99, value=[5])
    assert a.merge([forged]) == ()
    b.merge([forged])
    assert a.list_values("usage", Usage) == (Usage(1),)


def test_take_records_obeys_its_limit_and_returns_urgent_ones_first(
    clock: ManualClock,
) -> None:
    store = make_store(clock, "a", max_message_bytes=300)
    for index in range(50):
        store.put(make_draft(f"club-{index}"))
    store.put(make_draft("hot", is_urgent=True))
    taken = store.take_records(7)
    assert taken[0].key == "hot"
    assert len(taken) < 10
    assert len(store.take_records(7, wants_all=True)) == 51


def test_a_full_store_drops_the_records_that_expire_first(clock: ManualClock) -> None:
    store = make_store(clock, "a", max_records=3)
    for index in range(5):
        store.put(make_draft(f"club-{index}", index, ttl_ms=1_000 + index))
    held = store.list_values("usage", Usage)
    assert held == (Usage(2), Usage(3), Usage(4))
    assert store.dropped["usage"] == 2


def test_put_refuses_a_large_value(clock: ManualClock) -> None:
    store = make_store(clock, "a")
    with pytest.raises(RecordError, match="the limit is 1024"):
        store.put(RecordDraft("usage", "club", "x" * 2_000, 1_000))


def test_list_since_returns_each_change_once(clock: ManualClock) -> None:
    a, b = make_store(clock, "a"), make_store(clock, "b")
    a.put(make_draft("club", 1))
    b.merge(a.take_records(2))
    assert len(b.list_since(0)) == 1
    assert b.list_since(b.cursor) == ()
