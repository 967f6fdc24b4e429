"""One view of load over all VMs."""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.peer_load import PEER_LOAD_TTL_MS, PeerLoad, VmLoad

BUSY = VmLoad(2, 5_000, 6_000)


def test_shares_add_up_and_newer_ones_replace_older() -> None:
    load = PeerLoad()
    load.take("a", BUSY, 0.0)
    load.take("b", BUSY, 0.0)
    load.take("b", VmLoad(1, 0, 100), 10.0)
    assert load.total(20.0) == VmLoad(3, 5_000, 6_100)


def test_vm_that_fell_silent_leaves_nothing_behind() -> None:
    """An engine looks full for ever.

    A VM dies with requests there; its share is never taken back by a message.
    """
    load = PeerLoad()
    load.take("a", BUSY, 0.0)
    assert load.total(PEER_LOAD_TTL_MS) == BUSY
    assert load.total(PEER_LOAD_TTL_MS + 1) == VmLoad()


def test_share_of_nothing_is_forgotten_at_once() -> None:
    load = PeerLoad()
    load.take("a", BUSY, 0.0)
    load.take("a", VmLoad(), 1.0)
    assert load.total(1.0) == VmLoad()


SHARES = st.builds(
    VmLoad, st.integers(0, 3), st.integers(0, 9_000), st.integers(0, 9_000)
)
NEWS = st.tuples(st.integers(0, 5), st.floats(0.0, 2_000.0), SHARES)


@given(st.lists(NEWS, max_size=40))
def test_total_is_that_of_vms_heard_lately(
    news: list[tuple[int, float, VmLoad]],
) -> None:
    """A sum that is kept between looks goes on counting what has changed or expired."""
    load = PeerLoad()
    heard: dict[int, tuple[float, VmLoad]] = {}
    now_ms = 0.0
    for vm, pause_ms, share in news:
        now_ms += pause_ms
        before = heard.get(vm)
        n_before = 0
        if before is not None and now_ms - before[0] <= PEER_LOAD_TTL_MS:
            n_before = before[1].n_prefill_tokens
        n_more = load.take(f"vm-{vm}", share, now_ms)
        assert n_more == max(0, share.n_prefill_tokens - n_before)
        heard[vm] = (now_ms, share)
        lately = [
            s for at_ms, s in heard.values() if now_ms - at_ms <= PEER_LOAD_TTL_MS
        ]
        total = load.total(now_ms)
        assert total[:3] == tuple(map(sum, zip(*(s[:3] for s in lately), strict=True)))


def test_looks_without_news_add_nothing_up() -> None:
    """Each placement looks at a hundred engines with shares of hundreds of VMs."""
    load = PeerLoad()
    for number in range(200):
        load.take(f"vm-{number}", BUSY, 0.0)
    assert load.total(1.0) is load.total(PEER_LOAD_TTL_MS)
