"""Orders that reserve and release memory on replicas."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from multidict import CIMultiDict

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.http.answer_bounds import read_body
from quetzaldeck.platform.headers import (
    EXPECTED_REPLICA,
    WRONG_REPLICA_STATUS,
    ignore_head,
    read_response_head,
)
from quetzaldeck.running_timeout import RunningTimeout
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults

if TYPE_CHECKING:
    from quetzaldeck.entry.response_head import ResponseHead
    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.platform.headers import OnHead
    from quetzaldeck.routing import Replica

ORDER_TIMEOUT_MS = 500.0
"""The answer normally takes a few milliseconds; a dispatch waits for it."""

MAX_ANSWER_BYTES = 65_536
"""Hundreds of times the size of an answer, of which only the status is used."""

OK_STATUS = 200
CONFLICT_STATUS = 409


class _Order(msgspec.Struct, frozen=True, rename="camel"):
    op: str
    id: str
    tokens: int | msgspec.UnsetType = msgspec.UNSET
    hold_ms: int | msgspec.UnsetType = msgspec.UNSET
    """Time for which the memory is reserved, even if it is in use longer; counted from
    the arrival of the order."""


class ReplicaOrders:
    """Sends orders to replicas.

    :param client: connections to the replicas
    :param on_head: called with the head of each response
    """

    def __init__(self, client: UpstreamClient, on_head: OnHead = ignore_head) -> None:
        self._client = client
        self._on_head = on_head

    async def reserve(
        self, replica: Replica, reservation_id: str, n_tokens: int, hold_ms: float
    ) -> bool:
        """Reserve memory, or extend the hold time of the reservation with the same id.

        :returns: whether the memory is reserved; ``False``: not enough is free
        :raises UpstreamError: if the outcome is not known
        """
        order = _Order("reserve", reservation_id, n_tokens, int(hold_ms))
        head = await self._send(replica, order)
        if head.status == OK_STATUS:
            return True
        if head.status == CONFLICT_STATUS:
            return False
        fault = AttemptFault.RESTING if head.rest_ms else AttemptFault.FAILED
        raise _fault(
            replica, f"reserve order answered with status {head.status}", fault
        )

    async def release(self, replica: Replica, reservation_id: str) -> None:
        """Release reserved memory; a reservation that does not exist is no error.

        :raises UpstreamError: if the order failed or was not answered
        """
        head = await self._send(replica, _Order("release", reservation_id))
        status = head.status
        if status not in (OK_STATUS, CONFLICT_STATUS, WRONG_REPLICA_STATUS):
            raise _fault(replica, f"release order answered with status {status}")

    async def _send(self, replica: Replica, order: _Order) -> ResponseHead:
        headers = CIMultiDict(
            {
                "Content-Type": "application/json",
                EXPECTED_REPLICA: replica.replica_id,
            }
        )
        body = msgspec.json.encode(order)
        async with (
            translate_faults(replica.replica_id),
            RunningTimeout(ORDER_TIMEOUT_MS),
        ):
            response = await self._client.send(
                replica.address, "POST", "/order", headers, body
            )
            async with response:
                head = read_response_head(response.status, response.headers)
                self._on_head(replica, head)
                await read_body(response, MAX_ANSWER_BYTES)
                return head


def _fault(
    replica: Replica, detail: str, fault: AttemptFault = AttemptFault.FAILED
) -> UpstreamError:
    name = replica.replica_id
    return UpstreamError(fault, f"{name}: {detail}", upstream=name)


__all__ = ("ReplicaOrders",)
