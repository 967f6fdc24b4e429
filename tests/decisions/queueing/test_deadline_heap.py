"""Tests of the heap that finds expired requests without scanning the queue."""

from __future__ import annotations

from quetzaldeck.decisions.queueing import DeadlineHeap


def test_pop_expired_returns_each_expired_request_once() -> None:
    heap = DeadlineHeap()
    for name, deadline_ms in (("b", 20.0), ("a", 10.0), ("c", 30.0)):
        heap.add(name, deadline_ms)
    assert heap.pop_expired(20.0) == ["a", "b"]
    assert heap.pop_expired(20.0) == []
    assert len(heap) == 1


def test_discard_keeps_memory_bounded() -> None:
    """Guards against a leak: removed requests must not stay in the heap.

    Their entries would otherwise stay until the deadline of each has passed.
    """
    heap = DeadlineHeap()
    heap.add("stays", 1e9)
    for index in range(10_000):
        heap.add(f"r{index}", 1e6 + index)
        heap.discard(f"r{index}")
    assert len(heap) == 1
    assert len(heap._heap) < 200
    assert heap.pop_expired(1e9) == ["stays"]


def test_add_after_discard_replaces_the_deadline() -> None:
    heap = DeadlineHeap()
    heap.add("a", 10.0)
    heap.discard("a")
    heap.add("a", 50.0)
    assert heap.pop_expired(20.0) == []
    assert heap.pop_expired(50.0) == ["a"]
