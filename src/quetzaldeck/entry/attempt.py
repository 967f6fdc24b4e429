"""Sends a request to an upstream once and validates the head of the response."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from enum import StrEnum
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from quetzaldeck.decisions import AttemptFault, LoadReport
from quetzaldeck.decisions.silence_thresholds import (
    first_byte_threshold_ms,
    stream_gap_threshold_ms,
)
from quetzaldeck.entry.forwarding_parameters import ForwardingParameters, Helper
from quetzaldeck.entry.memory_reservation import MemoryReservation
from quetzaldeck.entry.response_head import ResponseHead
from quetzaldeck.entry.sending import find_evidence
from quetzaldeck.entry.upstream_protocol import read_connection
from quetzaldeck.gateway.messages import ObserveLoad
from quetzaldeck.gateway.silence_watch import SilenceWatch
from quetzaldeck.platform import build_request_headers, read_response_head
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.decisions.silence.verdict import SilenceVerdict
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.peers.permits import HeldPermit
    from quetzaldeck.entry.sending import Sending
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.routing import Replica


_PATH_FAULTS = frozenset(
    (AttemptFault.CONNECT, AttemptFault.BROKEN, AttemptFault.SILENT)
)


class AttemptStage(StrEnum):
    """What an attempt waits for before it is sent.

    ``QUEUED``: for its turn at an upstream that limits its rate; ``RESERVED``: for
    memory, or it holds some; ``READY``: for nothing.
    """

    QUEUED = "queued"
    RESERVED = "reserved"
    READY = "ready"


class OpenResponse(NamedTuple):
    """A response whose head has been validated; its body is not read yet."""

    head: ResponseHead
    response: aiohttp.ClientResponse


class AttemptRunner:
    """Sends a call to the upstream of one dispatch and validates the response.

    :param ticket: the scheduler's handle for the admitted request
    :param sending: records what is known of the run
    :param check: called right before the call is sent; raises if it must not be
    :param on_verdict: called with verdicts of the scheduler on a silent upstream
    """

    def __init__(
        self,
        state: EntryState,
        call: Call,
        ticket: Ticket,
        sending: Sending,
        *,
        check: Callable[[], None],
        on_verdict: Callable[[SilenceVerdict], None],
    ) -> None:
        self._state = state
        self._check = check
        self._call = call
        self._ticket = ticket
        self._on_verdict = on_verdict
        self._sending = sending
        self._members: frozenset[str] = frozenset()
        self._incarnation = ""
        self._replica: Replica | None = None
        self._permits: list[HeldPermit] = []
        self._sent_ms: float | None = None
        self._has_response = False
        self._connection = ""
        self._stage = AttemptStage.QUEUED

    @property
    def stage(self) -> AttemptStage:
        """:returns: what the attempt waits for until it is sent"""
        return self._stage

    @property
    def sent_ms(self) -> float | None:
        """:returns: when the attempt was sent; ``None``: not yet"""
        return self._sent_ms

    @property
    def connection(self) -> str:
        """:returns: the connection that the response came on; ``""``: none came"""
        return self._connection

    @property
    def replica(self) -> Replica | None:
        """:returns: the replica sent to; ``None``: none yet"""
        return self._replica

    @property
    def incarnation(self) -> str:
        """:returns: incarnation of that replica; ``""`` if unknown"""
        return self._incarnation

    def drop_callbacks(self) -> None:
        """Forget the callbacks of an attempt that has ended.

        They refer to its owner, which refers to this object. The request and its answer
        would stay in memory until the garbage collector finds the cycle.
        """
        self._check = _do_nothing
        self._on_verdict = _do_nothing

    def watch_first_byte(self, dispatch: Dispatch) -> SilenceWatch:
        """:returns: the watch on the time to the first byte of an attempt"""
        target_ms = self._call.admitted.route.target_latency_ms
        return self._build_watch(dispatch, first_byte_threshold_ms(target_ms))

    def watch_gaps(self, dispatch: Dispatch) -> SilenceWatch:
        """:returns: the watch on the gaps within a stream"""
        return self._build_watch(
            dispatch, stream_gap_threshold_ms(self._call.admitted.route.max_gap_ms)
        )

    async def acquire_permits(self, dispatch: Dispatch) -> None:
        """Wait for the turn of an attempt at upstreams that limit their rate.

        :raises UpstreamError: if it does not come in time; nothing was sent
        """
        self._state.availability.check(dispatch.upstreams)
        max_wait_ms = dispatch.max_permit_wait_ms
        permits = self._state.permits
        if dispatch.is_retrial:
            self._state.rate_limits.presume_cold(dispatch.upstreams)
        self._permits = [
            await permits.acquire(name, max_wait_ms) for name in dispatch.upstreams
        ]
        if max_wait_ms:
            self._ticket.note_sent(dispatch.attempt_id)
        self._stage = AttemptStage.READY

    @asynccontextmanager
    async def open(
        self, dispatch: Dispatch, *, last_event_id: str | None
    ) -> AsyncIterator[OpenResponse]:
        """Send, and yield the response; the connection is released on exit.

        :param last_event_id: event after which to resume a stream
        :raises UpstreamError: if the upstream did not respond, or not with a valid head
        """
        try:
            async with self._open_response(dispatch, last_event_id) as opened:
                yield opened
        except UpstreamError as error:
            if not error.may_have_run:
                self._sending.note_not_run(find_evidence(error))
            self._note_path_fault(dispatch.upstreams[-1], error)
            raise
        finally:
            self._state.paths.note_ended(dispatch.attempt_id)

    def note_silent(self, dispatch: Dispatch) -> None:
        """Record that the upstream is silent, which may be a fault of the path."""
        if self._sent_ms is not None:
            self._state.paths.note_failed(
                dispatch.upstreams[-1],
                self._sent_ms,
                is_new_connection=not self._has_response,
            )

    def _note_path_fault(self, name: str, error: UpstreamError) -> None:
        """Record a fault that may be one of the path to the upstream."""
        if error.fault not in _PATH_FAULTS or self._sent_ms is None:
            return
        is_silent = error.fault is AttemptFault.SILENT
        self._state.paths.note_failed(
            name,
            self._sent_ms if is_silent else self._state.clock.now_ms(),
            is_new_connection=not self._has_response,
        )

    @asynccontextmanager
    async def _open_response(
        self, dispatch: Dispatch, last_event_id: str | None
    ) -> AsyncIterator[OpenResponse]:
        name = dispatch.upstreams[-1]
        async with AsyncExitStack() as stack:
            members: tuple[Helper, ...] = ()
            self._members = frozenset()
            if dispatch.plan is not None:
                self._stage = AttemptStage.RESERVED
                deadline_ms = self._call.admitted.deadline_ms
                reservation = MemoryReservation(self._state, dispatch, deadline_ms)
                await stack.enter_async_context(reservation)
                self._members = frozenset(dispatch.plan.upstreams)
                self._ticket.note_reserved(dispatch.attempt_id)
                members = reservation.list_helpers()
            await stack.enter_async_context(translate_faults(name))
            watch = self.watch_first_byte(dispatch)

            async def send() -> aiohttp.ClientResponse:
                response = await self._send(dispatch, members, last_event_id)
                stack.callback(response.close)
                return response

            response = await watch.wait(send)
            self._has_response = True
            self._connection = read_connection(response)
            self._state.paths.note_heard(name)
            head = read_response_head(response.status, response.headers)
            self._report_load(name, head)
            if self._replica is not None:
                self._state.note_statements(self._replica, head)
            self._state.rate_limits.note_response(
                name, self._incarnation, head, call_id=self._call.head.call_id
            )
            self._check_head(name, head)
            yield OpenResponse(head, response)
            response.release()

    async def _send(
        self,
        dispatch: Dispatch,
        members: tuple[Helper, ...],
        last_event_id: str | None,
    ) -> aiohttp.ClientResponse:
        """Send the call, if the current fleet state allows it.

        :param members: engines that hold memory for the prompt
        """
        http_request = self._call.http_request
        name = dispatch.upstreams[-1]
        parameters = ForwardingParameters(
            name,
            self._call.admitted.customer,
            self._call.admitted.deadline_ms - self._state.clock.now_ms(),
            dispatch.rank if dispatch.request.model else None,
            (*members, *self._list_helpers(dispatch)),
            last_event_id,
        )
        replica = self._find_replica(name)
        self._state.availability.check(dispatch.upstreams)
        self._check()
        for permit in self._permits:
            self._state.permits.check(permit)
        self._incarnation = replica.incarnation
        self._replica = replica
        headers = build_request_headers(self._call.headers, parameters)
        self._sending.note_sent()
        self._sent_ms = self._state.clock.now_ms()
        self._state.paths.note_sent(dispatch.attempt_id, name)
        self._state.rate_limits.note_sent(name)
        return await self._state.upstreams.send(
            replica.address,
            http_request.method,
            http_request.raw_path,
            headers,
            self._call.body,
        )

    def _list_helpers(self, dispatch: Dispatch) -> tuple[Helper, ...]:
        """:returns: the helpers that may still get a part of the prompt"""
        belief = self._state.belief
        replicas = (belief.replicas.get(name) for name in dispatch.helpers)
        return tuple(
            Helper(replica.address)
            for replica in replicas
            if replica is not None and self._may_help(replica)
        )

    def _may_help(self, replica: Replica) -> bool:
        """:returns: whether a replica that was named as a helper still gets a part"""
        if self._state.availability.find_closure(replica) is not None:
            return False
        return self._state.rate_limits.find_cold(replica.replica_id) is None

    def _find_replica(self, name: str) -> Replica:
        """:returns: the replica that a dispatch names

        :raises UpstreamError: if it has left since the dispatch
        """
        replica = self._state.belief.replicas.get(name)
        if replica is None:
            raise UpstreamError(
                AttemptFault.OVERLOADED,
                f"{name}: the replica left after the request was dispatched to it",
                may_have_run=False,
                was_sent=False,
                upstream=name,
            )
        return replica

    def _report_load(self, name: str, head: ResponseHead) -> None:
        if head.load is None:
            return
        now_ms = self._state.clock.now_ms()
        report = LoadReport(
            name,
            self._incarnation or name,
            round(now_ms),
            0.0,
            head.load.n_running,
            head.load.n_waiting,
            0,
            0,
        )
        self._state.dispatch.send(ObserveLoad(report))

    def _check_head(self, name: str, head: ResponseHead) -> None:
        """:raises UpstreamError: if the response must not be forwarded to the caller"""
        if head.call_id and head.call_id != self._call.head.call_id:
            detail = f"{name}: the response is for request {head.call_id!r}"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)
        if head.has_not_run:
            self._raise_not_run(name, head)
        if head.is_unfounded_promise:
            detail = f"{name}: status {head.status}, but not that nothing was run"
            raise UpstreamError(AttemptFault.FAILED, detail, upstream=name)
        if head.is_encoded:
            detail = f"{name}: an intermediary changed the encoding of the body"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)
        if not head.is_sealed:
            detail = f"{name}: status {head.status} without the replica's seal header"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)

    def _raise_not_run(self, name: str, head: ResponseHead) -> None:
        """Classify a request that was not run: the replica is busy, or it is gone.

        If another replica responds at the address, the one addressed is gone. The
        replica addressed is busy if it responds itself. So is a member of the plan, as
        it was alive when it reserved memory a moment ago. Any other helper that did not
        take its prompt part is either gone or busy with other prompts; the response
        does not say which, so the fault is ``HELPER``. A helper classified as gone is
        excluded from all prompts for a second: if busy helpers were, each attempt of
        one long prompt would exclude another helper.

        :raises UpstreamError: always
        """
        faulty = self._find_faulty_replica(name, head)
        if head.is_other_replica:
            fault = AttemptFault.CONNECT
        elif faulty == name and head.rest_ms:
            fault = AttemptFault.RESTING
        elif faulty == name or faulty in self._members:
            fault = AttemptFault.OVERLOADED
        else:
            fault = AttemptFault.HELPER
        raise UpstreamError(
            fault,
            f"{name}: status {head.status}, the request was not run",
            may_have_run=False,
            upstream=faulty,
        )

    def _find_faulty_replica(self, name: str, head: ResponseHead) -> str:
        """:returns: the replica that failed: the one addressed or one of its helpers"""
        if not head.faulty_address:
            return name
        replicas = self._state.belief.replicas
        service = replicas[name].service if name in replicas else ""
        for replica in replicas.values():
            # Entries of other services may list the same address.
            if replica.service == service and replica.address == head.faulty_address:
                return replica.replica_id
        return name

    def _build_watch(self, dispatch: Dispatch, bound_ms: float | None) -> SilenceWatch:
        if not self._call.admitted.route.is_repeatable:
            bound_ms = None
        return SilenceWatch(
            self._ticket,
            self._state.clock,
            dispatch.attempt_id,
            self._call.head.call_id,
            bound_ms,
            self._on_verdict,
        )


def _do_nothing(*_: object) -> None:
    """Take the place of a callback that is not called any more."""


__all__ = ("AttemptRunner", "AttemptStage", "OpenResponse")
