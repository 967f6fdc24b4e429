"""Tests of the load that the other VMs put on an upstream."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.loads.peer_load import PEER_LOAD_TTL_MS, PeerLoad, VmLoad

BUSY = VmLoad(2, 5_000, 6_000)


def test_total_sums_the_latest_load_of_each_vm() -> None:
    peers = PeerLoad()
    peers.update("a", BUSY, 0.0)
    peers.update("b", BUSY, 0.0)
    peers.update("b", VmLoad(1, 0, 100), 10.0)
    assert peers.total(20.0) == VmLoad(3, 5_000, 6_100)


def test_load_of_a_dead_vm_expires() -> None:
    """Guards against an engine that looks full for ever.

    A VM dies while it has requests there, and never sends a lower load.
    """
    peers = PeerLoad()
    peers.update("a", BUSY, 0.0)
    assert peers.total(PEER_LOAD_TTL_MS) == BUSY
    assert peers.total(PEER_LOAD_TTL_MS + 1) == VmLoad()


def test_empty_load_replaces_the_last_one_at_once() -> None:
    peers = PeerLoad()
    peers.update("a", BUSY, 0.0)
    peers.update("a", VmLoad(), 1.0)
    assert peers.total(1.0) == VmLoad()


VM_LOADS = st.builds(
    VmLoad, st.integers(0, 3), st.integers(0, 9_000), st.integers(0, 9_000)
)
UPDATES = st.tuples(st.integers(0, 5), st.floats(0.0, 2_000.0), VM_LOADS)


@given(st.lists(UPDATES, max_size=40))
def test_total_excludes_expired_loads(
    updates: list[tuple[int, float, VmLoad]],
) -> None:
    """Guards against a cached total that still counts replaced or expired loads."""
    peers = PeerLoad()
    latest: dict[int, tuple[float, VmLoad]] = {}
    now_ms = 0.0
    for vm, pause_ms, load in updates:
        now_ms += pause_ms
        before = latest.get(vm)
        n_before = 0
        if before is not None and now_ms - before[0] <= PEER_LOAD_TTL_MS:
            n_before = before[1].n_prefill_tokens
        n_more = peers.update(f"vm-{vm}", load, now_ms)
        assert n_more == max(0, load.n_prefill_tokens - n_before)
        latest[vm] = (now_ms, load)
        unexpired = [
            last
            for at_ms, last in latest.values()
            if now_ms - at_ms <= PEER_LOAD_TTL_MS
        ]
        total = peers.total(now_ms)
        assert total[:3] == tuple(
            map(sum, zip(*(last[:3] for last in unexpired), strict=True))
        )


def test_total_is_cached_until_a_load_changes() -> None:
    """Each placement reads the totals of a hundred engines over hundreds of VMs."""
    peers = PeerLoad()
    for number in range(200):
        peers.update(f"vm-{number}", BUSY, 0.0)
    assert peers.total(1.0) is peers.total(PEER_LOAD_TTL_MS)
