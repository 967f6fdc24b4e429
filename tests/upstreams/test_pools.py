"""Tests of connection pools: replaced only once, closed when no request uses them."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import uvloop

from quetzaldeck.bundle import UpstreamSpec
from quetzaldeck.decisions import AttemptFault
from quetzaldeck.upstreams import UpstreamError, UpstreamTimeouts
from quetzaldeck.upstreams.connections import Connections
from quetzaldeck.upstreams.pools import ConnectionPools

if TYPE_CHECKING:
    from collections.abc import Coroutine
    from typing import Any


def run(check: Coroutine[Any, Any, None]) -> None:
    uvloop.run(check)


def test_replace_replaces_a_pool_once() -> None:
    """Guards against replacing the new pool when several reads on the old one time out.

    Three reads on the old pool time out, and each tries to replace that pool.
    """

    async def check() -> None:
        async with ConnectionPools() as pools:
            old = pools.get("e")
            assert [pools.replace("e", old) for _ in range(3)] == [True, False, False]
            assert pools.get("e").generation == 2
            assert pools.get("other").generation == 1

    run(check())


def test_replaced_pool_stays_open_while_it_is_used() -> None:
    async def check() -> None:
        async with ConnectionPools() as pools, pools.use("e") as pool_of_other_user:
            async with pools.use("e") as pool:
                pools.replace("e", pool)
            assert not pool_of_other_user.session.closed
        assert pool_of_other_user.session.closed

    run(check())


@pytest.mark.parametrize(
    ("fault", "n_replaced"), [(AttemptFault.SILENT, 1), (AttemptFault.BROKEN, 0)]
)
def test_connections_replace_the_pool_only_after_a_timeout(
    fault: AttemptFault, n_replaced: int
) -> None:
    replaced: list[str] = []

    async def check() -> None:
        connections = Connections(UpstreamTimeouts(), replaced.append)
        connections.apply_specs((UpstreamSpec("e", "http://127.0.0.1:1"),))
        async with connections:
            with pytest.raises(UpstreamError):
                async with connections.use_engine("e"):
                    raise UpstreamError(fault, "e")

    run(check())
    assert replaced == ["e"] * n_replaced
