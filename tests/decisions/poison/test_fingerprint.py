"""What makes two requests the same one."""

from __future__ import annotations

from quetzaldeck.decisions.poison import compute_fingerprint, format_fingerprint


def test_parts_that_only_join_to_the_same_text_differ() -> None:
    """A neighbour with another path and body must not be taken for the culprit."""
    seen = {
        compute_fingerprint("gym", "/look/1", b""),
        compute_fingerprint("gym", "/look/", b"1"),
        compute_fingerprint("gym", "", b"/look/1"),
        compute_fingerprint("gy", "m/look/1", b""),
    }
    assert len(seen) == 4


def test_fingerprint_is_the_same_on_every_vm() -> None:
    """VMs count the crashes of one request together by this hash."""
    fingerprint = compute_fingerprint("gym", "GET", "gym.example", "/look/1", b"x")
    assert format_fingerprint(fingerprint) == "c713514a60443ea5"
    assert format_fingerprint(1) == "0000000000000001"
