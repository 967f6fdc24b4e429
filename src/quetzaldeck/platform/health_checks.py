"""Health checks of replicas, made to learn whether one has ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict

from quetzaldeck.decisions.poison import Liveness
from quetzaldeck.platform.headers import (
    EXPECTED_REPLICA,
    read_response_head,
)
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.upstreams.http import is_refused

if TYPE_CHECKING:
    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.platform.headers import OnHead
    from quetzaldeck.routing import Replica

CHECK_TIMEOUT_MS = 500.0
"""Less than a replica takes to start again after a crash, so that no answer can come
from the next incarnation. A check waits for a slot as a request does."""


class HealthChecks:
    """Asks replicas for their health on a connection of its own.

    :param client: opens a new connection for each request
    """

    def __init__(self, client: UpstreamClient, clock: Clock) -> None:
        self._client = client
        self._clock = clock

    async def check(
        self, replica: Replica, path: str, on_head: OnHead | None = None
    ) -> Liveness:
        """Check whether a replica lives, whatever it says of its health.

        :param on_head: called with the head of its response
        """
        begun_ms = self._clock.now_ms()
        liveness = await self._ask(replica, path, on_head)
        is_late = self._clock.now_ms() > begun_ms + CHECK_TIMEOUT_MS
        if is_late and liveness is Liveness.ALIVE and not replica.incarnation:
            # Nothing shows whether it has started again meanwhile.
            return Liveness.UNKNOWN
        return liveness

    async def is_reached(
        self, replica: Replica, path: str, on_head: OnHead | None = None
    ) -> bool:
        """Check whether a replica answers, though it may have started again.

        :param on_head: called with the head of its response
        """
        return await self._ask(replica, path, on_head) is Liveness.ALIVE

    async def _ask(
        self, replica: Replica, path: str, on_head: OnHead | None
    ) -> Liveness:
        headers = CIMultiDict({EXPECTED_REPLICA: replica.replica_id})
        try:
            async with RunningTimeout(CHECK_TIMEOUT_MS):
                response = await self._client.send(
                    replica.address, "GET", path, headers, None
                )
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return Liveness.ENDED if is_refused(error) else Liveness.UNKNOWN
        response.close()
        head = read_response_head(response.status, response.headers)
        liveness = _judge(replica.replica_id, head)
        if liveness is Liveness.ALIVE and on_head is not None:
            on_head(replica, head)
        return liveness


def _judge(replica_id: str, head: ResponseHead) -> Liveness:
    """:returns: whether the replica that responds is the expected one

    A replica without a free slot responds without its id. No other one can have its
    address so soon.
    """
    if head.is_other_replica or head.replica_id not in ("", replica_id):
        return Liveness.ENDED
    return Liveness.ALIVE


__all__ = ("HealthChecks",)
