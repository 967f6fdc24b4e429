"""Messages between the agents of different VMs."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    PeerHandler = Callable[["PeerIdentity", bytes], Awaitable[bytes]]


class PeerError(Exception):
    """A peer did not answer, or its answer is not authentic."""


class PeerIdentity(NamedTuple):
    """Authenticated sender of a message."""

    vm: str
    incarnation: str


class PeerChannel(ABC):
    """Sends requests to peers and answers theirs; every message is authenticated."""

    @abstractmethod
    async def ask(
        self, vm: str, address: str, kind: str, body: bytes, timeout_ms: float
    ) -> tuple[PeerIdentity, bytes]:
        """Send a request and wait for the answer.

        :param vm: id of the VM that has to answer
        :param address: base URL of its agent
        :param kind: message kind, e.g. ``gossip`` or ``claim``
        :param timeout_ms: stalls of this process do not count
        :returns: the identity of the answering peer, and the body of its answer
        :raises PeerError: if no authentic answer arrives in time
        """

    @abstractmethod
    def register(self, kind: str, handler: PeerHandler) -> None:
        """Answer requests of ``kind`` with ``handler``."""


__all__ = ("PeerChannel", "PeerError", "PeerIdentity")
