"""Sums of customers' tokens on the wire and on their way through relays."""

from __future__ import annotations

import msgspec

from quetzaldeck.entry.peers.messages import (
    LoadUpdate,
    PeerMessage,
    ShareUpdate,
    VmUpdate,
    decode_message,
    encode_message,
)
from quetzaldeck.entry.peers.update_store import (
    UpdateQueue,
    UpdateStore,
    split_updates,
)


class EarlierUpdate(msgspec.Struct, array_like=True):
    """The first fields of an update, as an earlier version reads them."""

    vm: str
    sequence: int
    loads: tuple[LoadUpdate, ...] = ()


class EarlierMessage(msgspec.Struct):
    """A message of which only the updates are read."""

    news: tuple[EarlierUpdate, ...]


LOAD = LoadUpdate("e0", 1, 2, 3)


def share(n_tokens: int, customer: str = "c0") -> ShareUpdate:
    return ShareUpdate("m/0", customer, n_tokens)


def test_update_without_shares_is_encoded_as_before() -> None:
    """Guards against an empty field in every update of a fleet without fair shares."""
    message = PeerMessage("vm", news=(VmUpdate("vm", 7, (LOAD,)),))
    assert encode_message(message) == (
        b'{"vm":"vm","news":[["vm",7,[["e0",1,2,3,0,0.0,0.0,"",false]],[],{},[],[]]]}'
    )


def test_shares_arrive_and_are_optional() -> None:
    """Guards against an update with or without shares that cannot be decoded."""
    updates = (VmUpdate("vm", 7, (LOAD,), shares=(share(5),)), VmUpdate("vm", 8))
    message = PeerMessage("vm", news=updates)
    assert decode_message(encode_message(message)) == message


def test_vm_of_an_earlier_version_reads_the_loads() -> None:
    """Guards against VMs that drop each other's loads while the fleet is upgraded."""
    update = VmUpdate("vm", 7, (LOAD,), shares=(share(5),))
    data = encode_message(PeerMessage("vm", news=(update,)))
    earlier = msgspec.json.decode(data, type=EarlierMessage)
    assert earlier.news[0].loads == (LOAD,)


def test_later_sum_replaces_an_earlier_one() -> None:
    """Guards against a delayed sum that is taken for the sum of a restarted VM."""
    store = UpdateStore()
    assert store.merge(VmUpdate("vm", 2, shares=(share(9),)), 0.0).shares
    late = VmUpdate("vm", 1, (LOAD,), shares=(share(4), share(4, "c1")))
    assert store.merge(late, 0.0) == VmUpdate(
        "vm", 1, (LOAD,), shares=(share(4, "c1"),)
    )
    queue = UpdateQueue()
    queue.add(VmUpdate("vm", 2, (LOAD,), shares=(share(9),)))
    queue.add(VmUpdate("vm", 1, shares=(share(4), share(4, "c1"))))
    assert sorted(queue.take(), key=lambda update: update.sequence) == [
        VmUpdate("vm", 1, shares=(share(4, "c1"),)),
        VmUpdate("vm", 2, (LOAD,), shares=(share(9),)),
    ]
    assert not queue


def test_shares_are_split_over_datagrams() -> None:
    """Guards against sums that are lost when an update is too long for a datagram."""
    shares = tuple(share(1, f"c{number}") for number in range(45))
    parts = list(split_updates((VmUpdate("vm", 1, (LOAD,), shares=shares),), 20))
    updates = [update for part in parts for update in part]
    assert sum((update.shares for update in updates), ()) == shares
    assert all(sum(len(u.shares) + len(u.loads) for u in part) <= 20 for part in parts)
