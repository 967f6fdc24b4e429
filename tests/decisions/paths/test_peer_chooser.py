"""Which VM a request is handed over to."""

from __future__ import annotations

from collections import Counter
from contextlib import ExitStack
from random import Random

from quetzaldeck.decisions.paths import PeerChooser
from quetzaldeck.decisions.paths.peer_chooser import UNABLE_MS

SERVICE = "plans"
PEERS = {"a": ("a1", "a2"), "b": ("b1", "b2", "b3"), "c": ("c1", "c2", "c3")}


def open_chooser(seed: int = 0) -> PeerChooser:
    """:returns: the chooser of a VM in zone ``a``"""
    return PeerChooser("a", random_state=Random(seed))


def test_zone_of_partitioned_vms_spreads_its_requests_over_all_others() -> None:
    """All VMs of a zone hand their requests to the same VM, which falls over."""
    n_handed: Counter[str] = Counter()
    with ExitStack() as stack:
        for seed in range(40):
            chooser = open_chooser(seed)
            for _ in range(20):
                others = {zone: PEERS[zone] for zone in ("b", "c")}
                peer = chooser.choose(SERVICE, others, (), 0.0)
                assert peer is not None
                stack.enter_context(chooser.track(peer))
                n_handed[peer] += 1
    mean = n_handed.total() / 6
    assert len(n_handed) == 6
    assert all(0.8 * mean <= n <= 1.2 * mean for n in n_handed.values())


def test_vm_of_the_own_zone_is_preferred_while_it_is_free() -> None:
    """Requests and bodies cross zones without need."""
    chooser = open_chooser()
    peers = {"a": ("a1",), "b": ("b1",)}
    assert chooser.choose(SERVICE, peers, (), 0.0) == "a1"
    with chooser.track("a1"):
        assert chooser.choose(SERVICE, peers, (), 0.0) == "b1"
    assert chooser.choose(SERVICE, peers, (), 0.0) == "a1"


def test_vm_that_is_partitioned_as_well_is_left_out_for_a_while() -> None:
    """Two partitioned VMs hand each request to each other first."""
    chooser = open_chooser()
    for peer in PEERS["a"]:
        chooser.note_unable(peer, SERVICE, 0.0)
    near = {"a": PEERS["a"]}
    assert chooser.choose(SERVICE, near, (), UNABLE_MS - 1.0) is None
    assert chooser.choose("desk", near, (), UNABLE_MS - 1.0) is not None
    assert chooser.choose(SERVICE, near, (), UNABLE_MS) is not None


def test_vm_that_was_asked_for_a_request_is_not_asked_again() -> None:
    """A request goes back to the VM that has refused it."""
    assert open_chooser().choose(SERVICE, {"b": ("b1",)}, ("b1",), 0.0) is None
