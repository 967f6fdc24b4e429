"""Which peer messages are accepted."""

from __future__ import annotations

import itertools

import pytest

from quetzaldeck.peers import (
    Authenticator,
    PeerIdentity,
    PeerKeyError,
    PeerRefusal,
    PeerSettings,
    RefusedMessageError,
)

OLD = "old-secret-of-the-fleet"
NEW = "new-secret-of-the-fleet"


def make_agent(
    vm: str, incarnation: str = "1", settings: PeerSettings | None = None
) -> Authenticator:
    settings = settings or PeerSettings({"old": OLD})
    return Authenticator(PeerIdentity(vm, f"{vm}.{incarnation}"), settings)


def introduce(sender: Authenticator, recipient: Authenticator) -> None:
    """Let ``sender`` learn the recipient's epoch, as its first request does."""
    request = sender.seal_request(recipient.identity.vm, "gossip", b"")
    answer = recipient.seal_answer(request, 409, b"")
    sender.verify_answer(request, answer, 409, b"")


def check_refused(
    recipient: Authenticator, seal: object, refusal: PeerRefusal, body: bytes = b"x"
) -> None:
    with pytest.raises(RefusedMessageError) as caught:
        recipient.verify_request(seal, "gossip", body)  # type: ignore[arg-type]
    assert caught.value.refusal is refusal


def test_verify_request_returns_the_sender() -> None:
    a, b = make_agent("a"), make_agent("b")
    introduce(a, b)
    assert (
        b.verify_request(a.seal_request("b", "gossip", b"x"), "gossip", b"x")
        == a.identity
    )


def test_verify_request_refuses_a_replay_also_after_a_restart() -> None:
    """An attacker records a leave message and replays it days later.

    If it were accepted, the VM named in it would be removed from the fleet while it
    serves. A restarted recipient has lost its replay windows, so the epoch, drawn
    anew at each start, has to reject the replay.
    """
    a, b = make_agent("a"), make_agent("b")
    introduce(a, b)
    seal = a.seal_request("b", "gossip", b"x")
    b.verify_request(seal, "gossip", b"x")
    check_refused(b, seal, PeerRefusal.REPLAYED)
    check_refused(make_agent("b", "2"), seal, PeerRefusal.WRONG_EPOCH)


def test_verify_request_accepts_messages_out_of_order_once_each() -> None:
    a, b = make_agent("a"), make_agent("b")
    introduce(a, b)
    seals = [a.seal_request("b", "gossip", b"x") for _ in range(50)]
    for seal in reversed(seals):
        b.verify_request(seal, "gossip", b"x")
    for seal in seals:
        check_refused(b, seal, PeerRefusal.REPLAYED)


@pytest.mark.parametrize(
    ("change", "refusal"),
    [
        ({"vm": "c"}, PeerRefusal.BAD_SIGNATURE),
        ({"incarnation": "a.9"}, PeerRefusal.BAD_SIGNATURE),
        ({"number": 99}, PeerRefusal.BAD_SIGNATURE),
        ({"signature": "00"}, PeerRefusal.BAD_SIGNATURE),
        ({"key_id": "other"}, PeerRefusal.UNKNOWN_KEY),
    ],
)
def test_verify_request_refuses_an_altered_seal(
    change: dict[str, object], refusal: PeerRefusal
) -> None:
    a, b = make_agent("a"), make_agent("b")
    introduce(a, b)
    seal = a.seal_request("b", "gossip", b"x")
    check_refused(b, seal._replace(**change), refusal)  # type: ignore[arg-type]


def test_verify_request_refuses_another_body_and_another_kind() -> None:
    a, b = make_agent("a"), make_agent("b")
    introduce(a, b)
    seal = a.seal_request("b", "gossip", b"x")
    check_refused(b, seal, PeerRefusal.BAD_SIGNATURE, body=b"y")
    with pytest.raises(RefusedMessageError, match="bad_signature"):
        b.verify_request(seal, "claim", b"x")


def test_verify_request_refuses_a_request_to_another_vm() -> None:
    a, b, c = make_agent("a"), make_agent("b"), make_agent("c")
    introduce(a, b)
    seal = a.seal_request("b", "gossip", b"x")
    check_refused(c, seal, PeerRefusal.WRONG_RECIPIENT)


def test_verify_answer_refuses_the_answer_to_another_request() -> None:
    """An attacker substitutes an old answer for a new one.

    If it were accepted, a vote for one claim would count for the next claim.
    """
    a, b = make_agent("a"), make_agent("b")
    first, second = (a.seal_request("b", "claim", b"x") for _ in range(2))
    answer = b.seal_answer(first, 200, b"granted")
    assert a.verify_answer(first, answer, 200, b"granted") == b.identity
    with pytest.raises(RefusedMessageError, match="bad_signature"):
        a.verify_answer(second, answer, 200, b"granted")


def test_verify_answer_refuses_an_answer_of_another_vm() -> None:
    a, c = make_agent("a"), make_agent("c")
    request = a.seal_request("b", "gossip", b"x")
    answer = c.seal_answer(request, 200, b"")
    with pytest.raises(RefusedMessageError, match="'c' answers for 'b'"):
        a.verify_answer(request, answer, 200, b"")


def test_keys_are_rotated_without_losing_contact() -> None:
    """Each rotation step is rolled out VM by VM, so old and new settings must work.

    VMs before and after a step have to accept each other's messages.
    """
    steps = [
        PeerSettings({"old": OLD}),
        PeerSettings({"old": OLD, "new": NEW}, key_id="old"),
        PeerSettings({"old": OLD, "new": NEW}, key_id="new"),
        PeerSettings({"new": NEW}),
    ]
    for before, after in itertools.pairwise(steps):
        a, b = make_agent("a", settings=before), make_agent("b", settings=after)
        for sender, recipient in ((a, b), (b, a)):
            introduce(sender, recipient)
            seal = sender.seal_request(recipient.identity.vm, "gossip", b"x")
            recipient.verify_request(seal, "gossip", b"x")
    first, last = (make_agent("a", settings=steps[n]) for n in (0, -1))
    seal = first.seal_request("a", "gossip", b"x")
    check_refused(last, seal, PeerRefusal.UNKNOWN_KEY)


@pytest.mark.parametrize(
    ("settings", "message"),
    [
        (PeerSettings({"k": "short"}), "use 16 or more"),
        (PeerSettings({"k": OLD}, key_id="j"), "names 'j'; peer keys given: k"),
    ],
)
def test_check_peer_settings_describes_the_fault(
    settings: PeerSettings, message: str
) -> None:
    with pytest.raises(PeerKeyError, match=message):
        make_agent("a", settings=settings)
