"""Who is told news, and for how long."""

from __future__ import annotations

from quetzaldeck.decisions.relays import PendingAcks, RelayBounds, Subscribers

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
    pending: PendingAcks[str] = PendingAcks()
    first, second = pending.next_number(), pending.next_number()
    pending.expect(first, "a", "one", 0.0)
    pending.expect(second, "b", "two", 10.0)
    pending.acknowledge(second, "a")
    assert len(pending) == 2, "another VM's confirmation says nothing"
    pending.acknowledge(first, "a")
    assert pending.next_ms() == 10.0 + BOUNDS.ack_timeout_ms
    assert not pending.pop_overdue(pending.next_ms() - 1.0)
    late = pending.pop_overdue(pending.next_ms())
    assert [(held.address, held.message, held.n_sent) for held in late] == [
        ("b", "two", 1)
    ]
    assert pending.next_ms() == float("inf")
