"""What a VM tells of an upstream, and what another one takes it for."""

from __future__ import annotations

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.peer_load import VmLoad
from quetzaldeck.entry.peers.messages import LoadNews, build_load_news, read_load_news

COUNTS = st.integers(0, 100_000)
HUNDREDTHS = st.integers(0, 10_000).map(lambda n: n / 100)
SHARES = st.builds(
    VmLoad,
    COUNTS,
    COUNTS,
    COUNTS,
    COUNTS,
    st.builds(Outcomes, HUNDREDTHS, HUNDREDTHS),
    st.sampled_from(["", "x6aae7c96"]),
    st.booleans(),
)


@given(SHARES)
def test_share_arrives_as_it_was_told(share: VmLoad) -> None:
    """A field that is told and not read: each VM finds what others know already."""
    wire = msgspec.json.encode(build_load_news("e0", share))
    news = msgspec.json.decode(wire, type=LoadNews)
    assert read_load_news(news) == share
    assert news.says_anything == share.says_anything
