"""Runs a call on this VM, or on another one while this one does not reach upstreams."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from aiohttp import web

    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.call_run import CallRun
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.gateway.ticket import Ticket


_PATH_REASONS = frozenset((Reason.NO_PATH, Reason.UPSTREAM_FAILED))
"""Reasons of failures that another VM may be spared."""


class HandoverOffer:
    """Decides for one call whether it is offered to other VMs.

    :param run: runs it on this VM
    """

    def __init__(self, state: EntryState, call: Call, run: CallRun) -> None:
        self._state = state
        self._call = call
        self._run = run
        self._may_have_run = False

    @property
    def may_have_run(self) -> bool:
        """:returns: whether another VM may have run the call, or may yet run it"""
        return self._may_have_run

    async def run(self, ticket: Ticket) -> web.StreamResponse:
        """Run the call here, or have another VM run it.

        :param ticket: the scheduler's handle for the call
        :raises RequestError: if it was not answered
        """
        service = self._call.admitted.service
        if self._state.paths.prefers_hand_over(service) and self._may_send(Ran.NO):
            try:
                return await self._hand_over()
            except RequestError as error:
                if error.failure.ran is not Ran.NO:
                    raise
                self._may_have_run = False
        try:
            async with ticket:
                return await self._run.run()
        except RequestError as error:
            failure = error.failure
            if failure.reason not in _PATH_REASONS or not self._may_send(failure.ran):
                raise
            if not self._state.paths.may_hand_over(service):
                raise
        return await self._hand_over()

    def _may_send(self, ran: Ran) -> bool:
        handover = self._state.handover
        return handover.may_send(self._call, self._run.n_maybe_run, ran)

    async def _hand_over(self) -> web.StreamResponse:
        self._may_have_run = True
        return await self._state.handover.run(
            self._call, self._run.relay, self._run.n_maybe_run
        )


__all__ = ("HandoverOffer",)
