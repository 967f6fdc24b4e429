"""Datagrams between two entry VMs, valid and undecodable ones."""

from __future__ import annotations

import asyncio
import socket
from contextlib import suppress
from typing import TYPE_CHECKING, Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from tests.ports import choose_port
from tests.support.platform.site import PLAN_PATH, run_site

from quetzaldeck.decisions.fair_shares import ShareSum, ShareTracker
from quetzaldeck.decisions.fair_shares.dispatched_tokens import FORGET_MS
from quetzaldeck.decisions.health.outcomes import Outcomes
from quetzaldeck.decisions.loads.load_changes import REFRESH_INTERVAL_MS, LoadChanges
from quetzaldeck.decisions.loads.peer_load import VmLoad
from quetzaldeck.entry.peers import PeerTable, PeerTask
from quetzaldeck.entry.peers.messages import (
    PeerMessage,
    ShareUpdate,
    VmUpdate,
    build_load_update,
    decode_message,
    encode_message,
)

if TYPE_CHECKING:
    import pytest
    from tests.support.platform.replica import Arrival, Connection
    from tests.support.platform.site import Site

IDLE = VmLoad()
BUSY = VmLoad(2, 5_000, 6_000, 1, Outcomes(7.25, 2.0))
DONE = VmLoad(outcomes=Outcomes(8.0, 2.0))
"""Nothing runs there any more: the outcomes are sent once and not repeated."""


def send(port: int, data: bytes) -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
        sender.bind(("127.0.0.1", 0))
        sender.sendto(data, ("127.0.0.1", port))


def test_load_of_another_vm_counts_and_undecodable_datagrams_do_not() -> None:
    async def test(site: Site) -> None:
        state = site.entry.session.state
        table = PeerTable("127.0.0.9", (), random_state=state.random_state)
        port = choose_port()
        task = asyncio.create_task(
            PeerTask(state, table, own="127.0.0.1", vm="own", port=port).run(
                "127.0.0.1"
            )
        )
        await asyncio.sleep(0.05)
        for data in (b"", b"\xff\x00", b"[]", b'{"vm": 3}'):
            send(port, data)
        loads = (build_load_update("e0", BUSY), build_load_update("unknown", BUSY))
        update = VmUpdate("other", 1, loads)
        send(port, encode_message(PeerMessage("other", news=(update,))))
        await site.wait(lambda: bool(table.addresses))
        engines = state.dispatch._scheduler.upstreams
        engine = engines.get("e0")
        assert engine is not None
        await site.wait(lambda: engine.n_requests(state.clock.now_ms()) > 0)
        assert engine.n_requests(state.clock.now_ms()) == 1, (
            "a prompt part takes no slot"
        )
        total = engine.peers.total(state.clock.now_ms())
        assert total == BUSY._replace(outcomes=Outcomes())
        outcomes = engine.peers.outcomes.at(state.clock.now_ms())
        assert 6.0 < outcomes.n_answered <= 7.25
        assert 1.5 < outcomes.n_failed <= 2.0
        task.cancel()
        with suppress(asyncio.CancelledError):
            await task

    run_site(test)


def test_change_is_sent_once_and_repeated_while_the_load_lasts() -> None:
    changes = LoadChanges()
    assert not changes.select_due([("e0", IDLE)], 0.0)
    assert changes.select_due([("e0", BUSY)], 10.0) == [("e0", BUSY)]
    assert not changes.select_due([("e0", BUSY)], 20.0)
    assert changes.select_due([("e0", BUSY)], 10.0 + REFRESH_INTERVAL_MS) == [
        ("e0", BUSY)
    ]
    done_ms = REFRESH_INTERVAL_MS + 400.0
    assert changes.select_due([("e0", DONE)], done_ms) == [("e0", DONE)]
    assert not changes.select_due([("e0", DONE)], done_ms + 7_600.0)
    assert changes.select_due([("e0", IDLE)], done_ms + 8_100.0) == [("e0", IDLE)]
    assert not changes.select_due([("e0", IDLE)], done_ms + 17_600.0)


def test_undecodable_datagrams_of_one_peer_are_logged_once(
    capfd: pytest.CaptureFixture[str],
) -> None:
    """Guards against a peer that floods the log."""

    async def test(site: Site) -> None:
        state = site.entry.session.state
        table = PeerTable("127.0.0.9", (), random_state=state.random_state)
        task = PeerTask(state, table, own="127.0.0.1", vm="own", port=1)
        for data in (b"{", b"\xff", b'{"vm":' + b"[" * 30_000, b'{"vm": 3}') * 20:
            task.datagram_received(data, ("127.0.0.2", 1))
        assert not table.addresses

    run_site(test)
    assert capfd.readouterr().err.count("peer_undecodable") == 1


@given(st.binary(max_size=200))
def test_any_datagram_is_decoded_or_rejected(data: bytes) -> None:
    with suppress(msgspec.DecodeError):
        decode_message(data)


def test_vm_that_has_just_started_receives_the_loads_at_once() -> None:
    """Guards against requests placed behind a long prefill after all VMs restart.

    A VM that has just started does not know the others' requests. A VM that receives a
    message of a new incarnation answers with its loads and the VMs that it knows,
    without waiting for the next refresh.
    """

    async def test(site: Site) -> None:
        state = site.entry.session.state
        table = PeerTable("127.0.0.9", (), random_state=state.random_state)
        task = PeerTask(state, table, own="127.0.0.1", vm="own", port=1)
        transport = task._transport = RecordingTransport()
        call = asyncio.create_task(site.call(PLAN_PATH, prompt=(5_000, 10)))
        await site.wait(lambda: bool(site.engines[0].calls))
        address = ("127.0.0.2", 1)
        task.datagram_received(encode_message(PeerMessage("incarnation 1")), address)
        assert transport.take_requests() == 1
        task.datagram_received(encode_message(PeerMessage("incarnation 1")), address)
        assert not transport.sent, "the incarnation is known already"
        task.datagram_received(encode_message(PeerMessage("incarnation 2")), address)
        assert transport.take_requests() == 1
        call.cancel()
        await asyncio.gather(call, return_exceptions=True)

    run_site(test, engines=(never_answer,))


def test_shares_are_announced_and_received() -> None:
    """Guards against sums that a VM counts but does not send, or receives but drops."""

    async def test(site: Site) -> None:
        state = site.entry.session.state
        table = PeerTable("127.0.0.9", (), random_state=state.random_state)
        task = PeerTask(state, table, own="127.0.0.1", vm="own", port=1)
        transport = task._transport = RecordingTransport()
        address = ("127.0.0.2", 1)
        shares = (ShareUpdate("m/0", "gym", 700),)
        update = VmUpdate("other", 1, shares=shares)
        data = encode_message(PeerMessage("other", news=(update,)))
        task.datagram_received(data, address)
        now_ms = state.clock.now_ms()
        scheduler = state.dispatch._scheduler
        queue = scheduler._queue
        tracker = scheduler._shares = ShareTracker(queue, now_ms - FORGET_MS)
        state.dispatch._handle_deferred()
        assert tracker._fleet.apply("other", [ShareSum("m/0", "gym", 900)], now_ms) == [
            ShareSum("m/0", "gym", 200)
        ]
        tracker._own.note_dispatched("m/0", "gym", 50, now_ms)
        transport.sent.clear()
        task._announce_changes(now_ms)
        task._send_outgoing()
        (message,) = transport.sent
        assert message.news[0].shares == (ShareUpdate("m/0", "gym", 50),)

    run_site(test)


async def never_answer(arrival: Arrival, connection: Connection) -> None:
    """Leave the request unanswered."""
    await asyncio.sleep(3_600)


class RecordingTransport(asyncio.DatagramTransport):
    """Records the messages sent."""

    def __init__(self) -> None:
        super().__init__()
        self.sent: list[PeerMessage] = []

    def sendto(self, data: Any, addr: Any = None) -> None:
        """Record a datagram."""
        assert addr == ("127.0.0.2", 1)
        self.sent.append(decode_message(data))

    def take_requests(self) -> int:
        """Clear the record.

        :returns: number of requests that the sent messages announce
        """
        sent, self.sent = self.sent, []
        return sum(
            load.n_requests
            for message in sent
            for update in message.news
            for load in update.loads
        )
