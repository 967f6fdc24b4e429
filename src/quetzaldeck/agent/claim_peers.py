"""Sends messages about claims to peers by VM id."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from quetzaldeck.peers import PeerError

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Collection, Coroutine
    from typing import Any

    from quetzaldeck.membership import Member, MembershipView
    from quetzaldeck.peers import PeerChannel
    from quetzaldeck.peers.api import PeerHandler


class ClaimPeers:
    """Peer channel that finds the addresses of VMs in the membership.

    The address for a message is looked up by VM, because building the list of all
    members takes time in proportion to the fleet.

    :param read_view: current membership
    :param find_member: current state of one other VM
    """

    def __init__(
        self,
        channel: PeerChannel,
        read_view: Callable[[], MembershipView],
        find_member: Callable[[str], Member | None],
    ) -> None:
        self._channel = channel
        self._read_view = read_view
        self._find_member = find_member
        self._tasks: set[asyncio.Task[Any]] = set()

    def register(self, kind: str, handler: PeerHandler) -> None:
        """Answer requests of ``kind`` with ``handler``."""
        self._channel.register(kind, handler)

    def list_vms(self) -> frozenset[str]:
        """:returns: the other VMs whose addresses are known"""
        view = self._read_view()
        return frozenset(m.vm for m in view.members if m.address) - {view.vm}

    def list_live(self) -> frozenset[str]:
        """:returns: the other VMs that are considered live"""
        view = self._read_view()
        return frozenset(m.vm for m in view.list_live() if m.address) - {view.vm}

    async def ask(
        self, vm: str, kind: str, body: bytes, timeout_ms: float
    ) -> bytes | None:
        """:returns: the answer of one VM, ``None`` if it does not answer in time"""
        member = self._find_member(vm)
        if member is None or not member.address:
            return None
        try:
            answer = await self._channel.ask(vm, member.address, kind, body, timeout_ms)
        except PeerError:
            return None
        return answer[1]

    async def ask_all(
        self, vms: Collection[str], kind: str, body: bytes, timeout_ms: float
    ) -> list[bytes]:
        """:returns: the answers that arrived in time"""
        answers = await asyncio.gather(
            *(self.ask(vm, kind, body, timeout_ms) for vm in sorted(vms))
        )
        return [answer for answer in answers if answer is not None]

    async def ask_each(
        self, vms: Collection[str], kind: str, body: bytes, timeout_ms: float
    ) -> AsyncIterator[bytes]:
        """Yield answers as they arrive.

        Requests in progress continue if the reader stops early.
        """
        tasks = [self.start(self.ask(vm, kind, body, timeout_ms)) for vm in sorted(vms)]
        for next_answer in asyncio.as_completed(tasks):
            answer = await next_answer
            if answer is not None:
                yield answer

    def start(self, coroutine: Coroutine[Any, Any, Any]) -> asyncio.Task[Any]:
        """:returns: a running task, referenced here until it ends"""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def close(self) -> None:
        """Cancel the running tasks."""
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)


__all__ = ("ClaimPeers",)
