"""Who is told news, and for how long."""

from __future__ import annotations

from quetzaldeck.decisions.relays import Receipts, RelayBounds, Subscribers

BOUNDS = RelayBounds()


def test_vm_that_no_longer_asks_is_told_nothing_more() -> None:
    """Guards against a relay that goes on sending to VMs that are gone."""
    subscribers = Subscribers()
    assert subscribers.join("a", "a/1", is_relay=False, now_ms=0.0)
    assert subscribers.join("b", "b/1", is_relay=True, now_ms=0.0)
    kept_ms = BOUNDS.n_missed_joins * BOUNDS.join_ms
    subscribers.expire(kept_ms)
    assert subscribers.list_members() == ("a",)
    assert subscribers.list_relays() == ("b",)
    assert not subscribers.join("b", "b/1", is_relay=True, now_ms=kept_ms)
    subscribers.expire(kept_ms + BOUNDS.join_ms)
    assert subscribers.list_members() == ()
    assert subscribers.list_relays() == ("b",)
    subscribers.leave("b")
    assert subscribers.list_relays() == ()


def test_vm_that_started_again_has_to_be_told_everything() -> None:
    """Guards against a new run that knows of no load until the next repeat."""
    subscribers = Subscribers()
    subscribers.join("a", "a/1", is_relay=False, now_ms=0.0)
    assert not subscribers.join("a", "a/1", is_relay=False, now_ms=1.0)
    assert subscribers.join("a", "a/2", is_relay=False, now_ms=2.0)
    assert subscribers.join("a", "a/2", is_relay=True, now_ms=3.0)


def test_message_without_a_receipt_is_late_once() -> None:
    receipts: Receipts[str] = Receipts()
    first, second = receipts.take_number(), receipts.take_number()
    receipts.expect(first, "a", "one", 0.0)
    receipts.expect(second, "b", "two", 10.0)
    receipts.confirm(second, "a")
    assert len(receipts) == 2, "another VM's confirmation says nothing"
    receipts.confirm(first, "a")
    assert receipts.next_ms() == 10.0 + BOUNDS.receipt_ms
    assert not receipts.pop_late(receipts.next_ms() - 1.0)
    late = receipts.pop_late(receipts.next_ms())
    assert [(held.address, held.message, held.n_sent) for held in late] == [
        ("b", "two", 1)
    ]
    assert receipts.next_ms() == float("inf")
