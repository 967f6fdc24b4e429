"""Another VM as a source of the fleet state."""

from __future__ import annotations

from http import HTTPStatus

import aiohttp
import msgspec

from quetzaldeck.belief import BeliefSource, SourceAnswer, SourceError
from quetzaldeck.entry.peers.belief_update import (
    AFTER_FIELD,
    BELIEF_PATH,
    VERSION_FIELD,
    WAIT_FIELD,
    decode_belief_update,
)
from quetzaldeck.http.answer_bounds import OverBoundError, log_over_bound, read_body
from quetzaldeck.running_timeout import RunningTimeout

MAX_UPDATE_BYTES = 32 << 20
"""A whole fleet state: tens of thousands of replicas, a tenth of the memory of a VM."""

BEFORE_ANY_REVISION = -1
"""Lower than any revision: the answer contains everything."""


class PeerSource(BeliefSource):
    """Queries one VM for its fleet state.

    :param client: used for other VMs only
    :param address: IP address and port
    :param version: version of the configuration that this VM has
    :param answer_ms: time allowed for the answer, beyond the wait of a long poll
    """

    def __init__(
        self,
        client: aiohttp.ClientSession,
        address: str,
        *,
        version: int,
        answer_ms: float,
    ) -> None:
        self._client = client
        self._url = f"http://{address}{BELIEF_PATH}"
        self._version = version
        self._answer_ms = answer_ms

    async def read_all(self) -> SourceAnswer:
        """Read the whole fleet state of the other VM; see the base class."""
        return await self._query(BEFORE_ANY_REVISION, 0)

    async def wait_for_changes(self, revision: int, wait_ms: int) -> SourceAnswer:
        """Wait for changes of the other VM's fleet state; see the base class."""
        return await self._query(revision, wait_ms)

    async def _query(self, revision: int, wait_ms: int) -> SourceAnswer:
        params = {
            AFTER_FIELD: str(revision),
            VERSION_FIELD: str(self._version),
            WAIT_FIELD: str(wait_ms),
        }
        try:
            async with (
                RunningTimeout(wait_ms + self._answer_ms),
                self._client.get(self._url, params=params) as response,
            ):
                body = await read_body(response, MAX_UPDATE_BYTES)
                status = response.status
        except OverBoundError as error:
            log_over_bound(self._url, error)
            raise SourceError(f"{self._url}: {error}") from error
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            raise SourceError(f"{self._url}: {error!r}") from error
        if status != HTTPStatus.OK:
            raise SourceError(f"{self._url}: status {status}")
        try:
            return decode_belief_update(body).translate()
        except msgspec.DecodeError as error:
            raise SourceError(f"{self._url}: {error}") from error


__all__ = ("PeerSource",)
