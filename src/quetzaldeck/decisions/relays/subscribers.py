"""VMs that have subscribed to the updates of this VM."""

from __future__ import annotations

from typing import NamedTuple

from quetzaldeck.decisions.relays.bounds import RelayBounds


class _Subscriber(NamedTuple):
    vm: str
    is_relay: bool
    until_ms: float


class Subscribers:
    """VMs that receive updates for as long as they renew their subscription.

    Members receive all updates, relays only those of this VM and its members.
    """

    def __init__(self, bounds: RelayBounds | None = None) -> None:
        bounds = RelayBounds() if bounds is None else bounds
        self._subscription_ms = bounds.join_ms * (bounds.n_missed_joins + 0.5)
        self._subscribers: dict[str, _Subscriber] = {}

    def __len__(self) -> int:
        return len(self._subscribers)

    def join(self, address: str, vm: str, *, is_relay: bool, now_ms: float) -> bool:
        """Add or renew a subscription.

        :param vm: id of the VM's incarnation
        :returns: whether the VM needs the complete current state
        """
        before = self._subscribers.get(address)
        until_ms = now_ms + self._subscription_ms
        self._subscribers[address] = _Subscriber(vm, is_relay, until_ms)
        return before is None or before.vm != vm or before.is_relay != is_relay

    def leave(self, address: str) -> None:
        """Remove a VM that has switched to another relay."""
        self._subscribers.pop(address, None)

    def expire(self, now_ms: float) -> None:
        """Remove VMs that have not renewed their subscription in time."""
        for address, subscriber in tuple(self._subscribers.items()):
            if subscriber.until_ms < now_ms:
                del self._subscribers[address]

    def list_members(self) -> tuple[str, ...]:
        """:returns: addresses of the VMs that receive all updates"""
        return tuple(a for a, s in self._subscribers.items() if not s.is_relay)

    def list_relays(self) -> tuple[str, ...]:
        """:returns: addresses of the subscribed relays"""
        return tuple(a for a, s in self._subscribers.items() if s.is_relay)


__all__ = ("Subscribers",)
