"""Subscriptions to updates, and messages that wait for an acknowledgement."""

from __future__ import annotations

from quetzaldeck.decisions.relays import PendingAcks, RelayBounds, Subscribers

BOUNDS = RelayBounds()


def test_subscription_expires_unless_renewed() -> None:
    """Guards against a relay that keeps sending to VMs that have left."""
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


def test_restarted_vm_must_be_sent_everything() -> None:
    """Guards against a new incarnation that knows no loads until they are repeated."""
    subscribers = Subscribers()
    subscribers.join("a", "a/1", is_relay=False, now_ms=0.0)
    assert not subscribers.join("a", "a/1", is_relay=False, now_ms=1.0)
    assert subscribers.join("a", "a/2", is_relay=False, now_ms=2.0)
    assert subscribers.join("a", "a/2", is_relay=True, now_ms=3.0)


def test_message_without_an_acknowledgement_is_overdue_once() -> None:
    pending: PendingAcks[str] = PendingAcks()
    first, second = pending.next_number(), pending.next_number()
    pending.expect(first, "a", "one", 0.0)
    pending.expect(second, "b", "two", 10.0)
    pending.acknowledge(second, "a")
    assert len(pending) == 2, "an acknowledgement of another VM does not count"
    pending.acknowledge(first, "a")
    assert pending.next_ms() == 10.0 + BOUNDS.ack_timeout_ms
    assert not pending.pop_overdue(pending.next_ms() - 1.0)
    overdue = pending.pop_overdue(pending.next_ms())
    assert [
        (message.address, message.message, message.n_sent) for message in overdue
    ] == [("b", "two", 1)]
    assert pending.next_ms() == float("inf")
