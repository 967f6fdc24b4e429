"""Sends requests to other VMs that reach the upstreams, and returns their responses."""

from __future__ import annotations

from contextlib import suppress
from http import HTTPStatus
from typing import TYPE_CHECKING

from aiohttp import web

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.paths import PeerChooser
from quetzaldeck.decisions.request import DISCONNECT_MARGIN_MS
from quetzaldeck.entry.handover_head import HandoverHead, read_failure
from quetzaldeck.entry.sending import Evidence, find_evidence
from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.http.answer_bounds import read_body
from quetzaldeck.outcomes import Failure, Ran, Reason
from quetzaldeck.platform import (
    build_handover_headers,
    build_response_headers,
    read_response_head,
)
from quetzaldeck.routing import RequestKind
from quetzaldeck.telemetry import log_event
from quetzaldeck.upstreams import UpstreamError
from quetzaldeck.upstreams.http import translate_faults
from quetzaldeck.upstreams.watch import NoWatch

if TYPE_CHECKING:
    import random
    from collections.abc import Awaitable, Callable

    import aiohttp

    from quetzaldeck.clock import Clock
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.peers import PeerTable
    from quetzaldeck.entry.sending import CallAccount, Sending
    from quetzaldeck.entry.stream_relay import StreamRelay
    from quetzaldeck.entry.upstream_client import UpstreamClient
    from quetzaldeck.telemetry import UpstreamMetrics

    Claim = Callable[[], Awaitable[None]]

MAX_PEERS_ASKED = 8
"""Most VMs that are asked to run one request. Many may refuse it at once, as they are
partitioned as well or shutting down."""

MAX_PEERS_TRIED = 3
"""Most VMs that may take time to refuse one request: a VM that is partitioned may not
have detected it yet. While no VM is known to reach the upstreams, no more are asked."""

_UNABLE_REASONS = frozenset((Reason.NO_PATH, Reason.NO_BUNDLE, Reason.SHUTTING_DOWN))
"""Reasons for which a VM takes none of the requests for a service."""


class _RefusedError(Exception):
    """A VM has not run a request, so that another one may.

    :param has_tried: whether the VM took time before it refused
    """

    def __init__(self, failure: Failure, *, has_tried: bool) -> None:
        super().__init__(failure.detail)
        self.failure = failure
        self.has_tried = has_tried


class NotTakenError(RequestError):
    """No other VM has run the request."""


class Handover:
    """Hands requests over, each to one VM that sends it to an upstream itself.

    :param client: connections to the other VMs
    :param port: port on which every VM takes such requests; 0: none does
    :param read_max_bytes: returns the limit on a response that is not a stream
    :param note_served: called with each service of which another VM served a request
    """

    def __init__(
        self,
        clock: Clock,
        client: UpstreamClient,
        metrics: UpstreamMetrics,
        note_served: Callable[[str], None],
        *,
        port: int,
        availability_zone: str,
        random_state: random.Random,
        read_max_bytes: Callable[[], int],
    ) -> None:
        self._clock = clock
        self._client = client
        self._metrics = metrics
        self._note_served = note_served
        self._port = port
        self._chooser = PeerChooser(availability_zone, random_state=random_state)
        self._read_max_bytes = read_max_bytes
        self._table: PeerTable | None = None

    def connect(self, table: PeerTable) -> None:
        """Use the table of the other VMs."""
        self._table = table

    def may_send(self, call: Call, n_attempts: int, ran: Ran) -> bool:
        """Check whether another VM may run a call.

        :param n_attempts: attempts that may have run
        :param ran: whether the call has run
        """
        if not self._port or call.handover is not None:
            return False
        route = call.admitted.route
        if ran is not Ran.NO and not route.is_repeatable:
            return False
        return route.max_attempts is None or n_attempts < route.max_attempts

    async def run(
        self,
        call: Call,
        relay: StreamRelay,
        account: CallAccount,
        claim: Claim,
        check: Callable[[CallAccount], Failure | None],
        *,
        is_known_reachable: bool,
    ) -> web.StreamResponse:
        """Have another VM run a call.

        :param relay: continues the caller's stream if it has begun
        :param account: the sendings of the call, to which those to VMs are added
        :param claim: awaited before the response is forwarded
        :param check: called before a VM is asked; returns why none may run the call
        :param is_known_reachable: whether some VM is known to reach the upstreams
        :returns: the response of an upstream
        :raises NotTakenError: if no VM has run it
        :raises RequestError: if it failed there
        """
        asked: list[str] = []
        detail = f"{call.admitted.service}: no VM is known that reaches an upstream"
        failure = Failure(Reason.NO_PATH, detail=detail)
        n_tried = 0
        is_taken = False
        max_asked = MAX_PEERS_ASKED if is_known_reachable else MAX_PEERS_TRIED
        while len(asked) < max_asked and n_tried < MAX_PEERS_TRIED:
            peer = self._choose(call.admitted.service, asked)
            if peer is None or not self.may_send(call, account.n_maybe_run, Ran.NO):
                break
            refusal = check(account)
            if refusal is not None:
                failure = refusal
                break
            asked.append(peer)
            try:
                with self._chooser.track(peer):
                    response = await self._ask(peer, call, relay, account, claim)
            except _RefusedError as error:
                failure = error.failure
                n_tried += error.has_tried
            except UpstreamError as error:
                self._log(call, peer, f"failed: {error}")
                self._metrics.handovers.labels("failed").inc()
                is_taken = True
                n_tried += 1
                if not call.admitted.route.is_repeatable:
                    ran = Ran.UNKNOWN
                    raise RequestError(Failure(Reason.UPSTREAM_FAILED, ran)) from None
                failure = Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN)
            else:
                self._metrics.handovers.labels("served").inc()
                self._note_served(call.admitted.service)
                self._log(call, peer, f"status {response.status}")
                return response
        failure = account.word(failure)
        raise RequestError(failure) if is_taken else NotTakenError(failure)

    def _choose(self, service: str, asked: list[str]) -> str | None:
        if self._table is None:
            return None
        zones = self._table.list_by_zone()
        return self._chooser.choose(service, zones, asked, self._clock.now_ms())

    async def _ask(
        self,
        peer: str,
        call: Call,
        relay: StreamRelay,
        account: CallAccount,
        claim: Claim,
    ) -> web.StreamResponse:
        """Send a call to one VM.

        :raises _RefusedError: if it has not run there
        :raises UpstreamError: if the connection failed after the call was sent
        :raises RequestError: if it failed there and may have run
        """
        service = call.admitted.service
        n_attempts = account.n_maybe_run
        sending = account.open(peer)
        try:
            async with translate_faults(peer):
                response = await self._send(peer, call, relay, n_attempts, sending)
                try:
                    failure = _read_failure(response, peer)
                    if failure is None:
                        return await self._receive(peer, call, relay, response, claim)
                finally:
                    response.close()
        except UpstreamError as error:
            if error.may_have_run:
                raise
            sending.note_not_run(find_evidence(error))
            self._chooser.note_unable(peer, service, self._clock.now_ms())
            self._log(call, peer, f"not reached: {error}")
            self._metrics.handovers.labels("unreached").inc()
            failure = Failure(Reason.NO_PATH, detail=str(error))
            raise _RefusedError(failure, has_tried=True) from error
        self._log(call, peer, f"refused: {failure.reason.value}")
        self._metrics.handovers.labels("refused").inc()
        if failure.ran is not Ran.NO:
            raise RequestError(failure)
        sending.note_not_run(Evidence.VM)
        is_unable = failure.reason in _UNABLE_REASONS
        if is_unable:
            self._chooser.note_unable(peer, service, self._clock.now_ms())
        raise _RefusedError(failure, has_tried=not is_unable)

    async def _send(
        self,
        peer: str,
        call: Call,
        relay: StreamRelay,
        n_attempts: int,
        sending: Sending,
    ) -> aiohttp.ClientResponse:
        http_request = call.http_request
        # The other VM's refusal has to come before this VM's own timeout, which can't
        # tell whether the call has run.
        remaining_ms = call.admitted.deadline_ms - self._clock.now_ms()
        remaining_ms -= DISCONNECT_MARGIN_MS
        headers = build_handover_headers(
            call.headers, remaining_ms, relay.last_event_id
        )
        head = HandoverHead(
            call.admitted.version,
            n_attempts,
            call.admitted.service,
            self._clock.now_ms() - call.arrived_ms,
        )
        headers.update(head.build_headers())
        sending.note_sent()
        return await self._client.send(
            f"{peer}:{self._port}",
            http_request.method,
            http_request.raw_path,
            headers,
            call.body,
        )

    async def _receive(
        self,
        peer: str,
        call: Call,
        relay: StreamRelay,
        response: aiohttp.ClientResponse,
        claim: Claim,
    ) -> web.StreamResponse:
        is_stream = call.admitted.route.kind is RequestKind.STREAMING
        if is_stream and response.status == HTTPStatus.OK:
            await relay.relay(
                peer,
                response,
                first_byte=NoWatch(),
                gaps=NoWatch(),
                claim=claim,
                on_first_event=lambda: None,
                on_lived=lambda: None,
                on_data=lambda: None,
                on_progress=lambda: None,
                may_write=lambda: True,
            )
            await claim()
            return await relay.finish()
        body = await read_body(
            response, self._read_max_bytes(), reserve=call.answer.reserve
        )
        if relay.response is not None:
            detail = (
                f"{peer}: status {response.status} in place of the rest of a stream"
            )
            raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=peer)
        await claim()
        headers = build_response_headers(response.headers)
        return web.Response(body=body, status=response.status, headers=headers)

    def _log(self, call: Call, peer: str, outcome: str) -> None:
        log_event(
            "handed_over",
            request=call.head.call_id,
            service=call.admitted.service,
            peer=peer,
            outcome=outcome,
        )


def _read_failure(response: aiohttp.ClientResponse, peer: str) -> Failure | None:
    """Distinguish the failure of another VM from the answer of an upstream.

    Only an upstream's answer has its seal. The other VM forwards all its headers, so
    they may include one that looks like a failure.

    :raises UpstreamError: if the response is neither
    """
    head = read_response_head(response.status, response.headers)
    if head.is_sealed and not head.is_unfounded_promise:
        return None
    failure = None
    if not head.is_sealed:
        with suppress(ValueError):
            failure = read_failure(response.headers, peer)
    if failure is None:
        detail = f"{peer}: status {response.status}, from neither a replica nor the VM"
        raise UpstreamError(AttemptFault.BAD_ANSWER, detail, upstream=peer)
    return failure


__all__ = ("Handover", "NotTakenError")
