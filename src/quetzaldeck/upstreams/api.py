"""Interfaces of the adapters, which are registered by protocol name."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING

from quetzaldeck.registry import Registry
from quetzaldeck.upstreams.http import read_said
from quetzaldeck.upstreams.timeouts import UpstreamTimeouts

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, Callable

    import aiohttp

    from quetzaldeck.bundle.document import UpstreamSpec
    from quetzaldeck.decisions.loads.load_report import LoadReport
    from quetzaldeck.upstreams.attempt import (
        Attempt,
        Chunk,
        Command,
        Export,
        Owner,
        PrefillPart,
        Reservation,
        RunningSequence,
    )
    from quetzaldeck.upstreams.call import ServiceAnswer, ServiceCall
    from quetzaldeck.upstreams.http import Said
    from quetzaldeck.upstreams.watch import Watch


def _ignore() -> None:
    """Nobody watches the connection."""


def ignore_said(upstream: str, said: Said) -> None:
    """Nobody acts on what an upstream says of itself."""


class Upstream(ABC):
    """Base class of all adapters.

    :param spec: the upstream's entry in the bundle
    :param session: connection pool, owned by the creator of the adapter
    :param timeouts: timeouts of requests to the upstream
    :param on_said: called with its name and what it says of itself with each response
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        session: aiohttp.ClientSession,
        timeouts: UpstreamTimeouts,
        on_said: Callable[[str, Said], None] = ignore_said,
    ) -> None:
        self._spec = spec
        self._session = session
        self._timeouts = timeouts
        self._on_said = on_said

    @property
    def name(self) -> str:
        """:returns: name of the upstream in the bundle"""
        return self._spec.name

    @property
    def session(self) -> aiohttp.ClientSession:
        """:returns: the connection pool that calls of this adapter use"""
        return self._session

    def _note_said(self, response: aiohttp.ClientResponse) -> None:
        """Pass on what the upstream says of itself."""
        said = read_said(response)
        if said.rest_ms or said.is_leaving:
            self._on_said(self.name, said)

    @abstractmethod
    async def read_load(self) -> LoadReport:
        """:returns: the upstream's report of its load

        :raises UpstreamError: if it does not respond
        """


class EngineUpstream(Upstream):
    """Adapter of a model engine."""

    @abstractmethod
    def complete(self, attempt: Attempt, watch: Watch) -> AsyncGenerator[Chunk, None]:
        """Run an attempt.

        A silence of the engine does not end it.

        :param watch: awaits the head of the response and each line, heartbeats included
        :returns: chunks as the engine sends them: they may be out of order, duplicated
            or belong to another attempt
        :raises UpstreamError: if the engine fails or stops responding
        """

    @abstractmethod
    async def cancel(self, attempt_id: str) -> None:
        """Release the allocation of an id: a sequence, a reservation or an export.

        Cancelling a reservation releases its exports and sequences too. An unknown id
        is not an error.
        """

    @abstractmethod
    async def reserve(self, reservation: Reservation) -> bool:
        """Request a reservation of memory; repeat with the same id to wait for it.

        An engine drops a queued reservation that is not requested again.

        :returns: whether it is granted; if not, it is queued at the engine
        :raises UpstreamError: if the engine can never grant it, or does not respond
        """

    @abstractmethod
    async def prefill(self, part: PrefillPart) -> Export:
        """Prefill a prompt part and keep it for the other engines of the group.

        :raises UpstreamError: if the engine fails, stops responding or has no capacity
        """

    @abstractmethod
    async def list_sequences(self) -> tuple[RunningSequence, ...]:
        """:returns: the engine's current allocations, with their owners"""

    @abstractmethod
    async def send_command(self, command: Command, owner: Owner) -> bool:
        """:returns: whether the engine accepted the command"""


class ServiceUpstream(Upstream):
    """Adapter of a replica of a plain service.

    :param note_heard: called whenever a call has received something
    """

    def __init__(
        self,
        spec: UpstreamSpec,
        session: aiohttp.ClientSession,
        timeouts: UpstreamTimeouts,
        on_said: Callable[[str, Said], None] = ignore_said,
        note_heard: Callable[[], None] = _ignore,
    ) -> None:
        super().__init__(spec, session, timeouts, on_said)
        self._note_heard = note_heard

    @abstractmethod
    async def call(
        self, call: ServiceCall, timeout_ms: float, watch: Watch
    ) -> ServiceAnswer:
        """Forward a call once, without resending it.

        A silence of the service does not end it.

        :param watch: awaits the head of the response and each part of its body
        :raises UpstreamError: if no complete response is received
        """


engine_protocols: Registry[EngineUpstream] = Registry("engine protocol")
service_protocols: Registry[ServiceUpstream] = Registry("service protocol")

__all__ = (
    "EngineUpstream",
    "ServiceUpstream",
    "Upstream",
    "UpstreamTimeouts",
    "engine_protocols",
    "ignore_said",
    "service_protocols",
)
