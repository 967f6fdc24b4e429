"""One send of a request to an upstream, until the head of its answer is judged."""

from __future__ import annotations

from contextlib import AsyncExitStack, asynccontextmanager
from typing import TYPE_CHECKING, NamedTuple

import aiohttp

from quetzaldeck.decisions import AttemptFault, LoadReport
from quetzaldeck.decisions.retries.silence import (
    first_byte_threshold_ms,
    stream_gap_threshold_ms,
)
from quetzaldeck.entry.answer_head import AnswerHead
from quetzaldeck.entry.memory import AttemptMemory
from quetzaldeck.entry.send_terms import Helper, SendTerms
from quetzaldeck.entry.silence_watch import SilenceWatch
from quetzaldeck.gateway.messages import ObserveLoad
from quetzaldeck.platform import build_request_headers, read_answer_head
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from quetzaldeck.decisions import Dispatch
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.gateway.ticket import Ticket
    from quetzaldeck.routing import Replica


class Answer(NamedTuple):
    """An answer whose head is in order; its body has yet to be read."""

    head: AnswerHead
    response: aiohttp.ClientResponse


class AttemptRunner:
    """Sends a call where a dispatch says, and judges what comes back.

    :param ticket: the admitted request
    """

    def __init__(self, state: EntryState, call: Call, ticket: Ticket) -> None:
        self._state = state
        self._call = call
        self._ticket = ticket
        self._may_have_run = False
        self._members: frozenset[str] = frozenset()
        self._incarnation = ""

    @property
    def incarnation(self) -> str:
        """:returns: the start of the replica that was sent to last; ``""``: not told"""
        return self._incarnation

    @property
    def may_have_run(self) -> bool:
        """:returns: whether a replica may have begun, or will yet begin, the call"""
        return self._may_have_run

    def watch_first_byte(self, dispatch: Dispatch) -> SilenceWatch:
        """:returns: what waits for the first byte of an attempt"""
        target_ms = self._call.admitted.route.target_latency_ms
        return self._watch(dispatch, first_byte_threshold_ms(target_ms))

    def watch_gaps(self, dispatch: Dispatch) -> SilenceWatch:
        """:returns: what waits for the next bytes of a stream that has begun"""
        return self._watch(
            dispatch, stream_gap_threshold_ms(self._call.admitted.route.max_gap_ms)
        )

    @asynccontextmanager
    async def open(
        self, dispatch: Dispatch, *, last_event_id: str | None
    ) -> AsyncIterator[Answer]:
        """Send, and yield the answer; the connection is given back at the end.

        :param last_event_id: event after which a stream goes on
        :raises UpstreamError: if the upstream did not answer, or not as it must
        """
        before = self._may_have_run
        try:
            async with self._open(dispatch, last_event_id) as answer:
                yield answer
        except UpstreamError as error:
            if not error.has_reached:
                self._may_have_run = before
            raise

    @asynccontextmanager
    async def _open(
        self, dispatch: Dispatch, last_event_id: str | None
    ) -> AsyncIterator[Answer]:
        name = dispatch.upstreams[-1]
        async with AsyncExitStack() as stack:
            helpers = self._list_helpers(dispatch)
            self._members = frozenset()
            if dispatch.plan is not None:
                until_ms = self._call.admitted.deadline_ms
                memory = AttemptMemory(self._state, dispatch, until_ms)
                await stack.enter_async_context(memory)
                self._members = frozenset(dispatch.plan.upstreams)
                self._ticket.note_reserved(dispatch.attempt_id)
                helpers = (*memory.list_helpers(), *helpers)
            await stack.enter_async_context(translate_faults(name))
            watch = self.watch_first_byte(dispatch)
            response = await watch.wait(
                lambda: self._send(dispatch, helpers, last_event_id)
            )
            try:
                head = read_answer_head(response.status, response.headers)
                self._note_load(name, head)
                self._check(name, head)
                yield Answer(head, response)
            except BaseException:
                response.close()
                raise
            response.release()

    async def _send(
        self,
        dispatch: Dispatch,
        helpers: tuple[Helper, ...],
        last_event_id: str | None,
    ) -> aiohttp.ClientResponse:
        http_request = self._call.http_request
        name = dispatch.upstreams[-1]
        terms = SendTerms(
            name,
            self._call.admitted.customer,
            self._call.admitted.deadline_ms - self._state.clock.now_ms(),
            dispatch.rank if dispatch.request.model else None,
            helpers,
            last_event_id,
        )
        replica = self._find_replica(name)
        self._incarnation = replica.incarnation
        headers = build_request_headers(http_request.headers, terms)
        self._may_have_run = True
        return await self._state.upstreams.send(
            replica.address,
            http_request.method,
            http_request.raw_path,
            headers,
            self._call.body,
        )

    def _list_helpers(self, dispatch: Dispatch) -> tuple[Helper, ...]:
        replicas = self._state.belief.replicas
        return tuple(
            Helper(replicas[name].address)
            for name in dispatch.helpers
            if name in replicas
        )

    def _find_replica(self, name: str) -> Replica:
        """:returns: a replica that takes new work

        :raises UpstreamError: if it went while the dispatch was under way
        """
        replica = self._state.belief.replicas.get(name)
        if replica is None or replica.is_leaving:
            raise UpstreamError(
                AttemptFault.OVERLOADED,
                f"{name}: left meanwhile",
                has_reached=False,
                has_arrived=False,
                upstream=name,
            )
        return replica

    def _note_load(self, name: str, head: AnswerHead) -> None:
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

    def _check(self, name: str, head: AnswerHead) -> None:
        """:raises UpstreamError: if the answer cannot be passed on"""
        if head.call_id and head.call_id != self._call.head.call_id:
            detail = f"{name}: the answer is to {head.call_id!r}"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)
        if head.has_not_run:
            self._raise_not_run(name, head)
        if head.is_encoded:
            detail = f"{name}: the body was encoded on its way"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)
        if not head.is_sealed:
            detail = f"{name}: status {head.status} without the replica's mark"
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=name)

    def _raise_not_run(self, name: str, head: AnswerHead) -> None:
        """Tell a busy replica from one that is gone.

        A replica that is not the one asked is gone. A helper that did not take its part
        is gone, or helps others already; nothing tells which. One that has just set
        memory aside is not gone. Taken for dead, a busy helper would be named in no
        prompt for a second; each attempt of one long prompt took another one out.

        :raises UpstreamError: always
        """
        faulty = self._find_faulty(name, head)
        if head.is_other_replica:
            fault = AttemptFault.CONNECT
        elif faulty == name or faulty in self._members:
            fault = AttemptFault.OVERLOADED
        else:
            fault = AttemptFault.HELPER
        raise UpstreamError(
            fault,
            f"{name}: status {head.status}, not run",
            has_reached=False,
            upstream=faulty,
        )

    def _find_faulty(self, name: str, head: AnswerHead) -> str:
        """:returns: the replica to blame: a helper may have failed the one asked"""
        if not head.faulty_address:
            return name
        replicas = self._state.belief.replicas
        service = replicas[name].service if name in replicas else ""
        for replica in replicas.values():
            # An entry of another service may name the same address.
            if replica.service == service and replica.address == head.faulty_address:
                return replica.replica_id
        return name

    def _watch(self, dispatch: Dispatch, bound_ms: float | None) -> SilenceWatch:
        if not self._call.admitted.route.is_repeatable:
            bound_ms = None
        return SilenceWatch(
            self._ticket,
            self._state.clock,
            dispatch.attempt_id,
            self._call.head.call_id,
            bound_ms,
        )


__all__ = ("Answer", "AttemptRunner")
