"""Loads at upstreams keep their values between the sending and the receiving VM."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.entry.peers.messages import (
    LoadUpdate,
    build_load_update,
    read_load_update,
)

COUNTS = st.integers(0, 100_000)
HUNDREDTHS = st.integers(0, 10_000).map(lambda n: n / 100)
LOADS = st.builds(
    VmLoad,
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
    st.builds(Outcomes, HUNDREDTHS, HUNDREDTHS),
    st.sampled_from(["", "x6aae7c96"]),
    st.booleans(),
)


@given(LOADS)
def test_load_arrives_as_it_was_sent(load: VmLoad) -> None:
    """Guards against a field that is sent but not read by the receiver.

    Each VM would then have to detect by itself what other VMs have announced.
    """
    wire = msgspec.json.encode(build_load_update("e0", load))
    update = msgspec.json.decode(wire, type=LoadUpdate)
    assert read_load_update(update) == load
    assert update.says_anything == load.says_anything
