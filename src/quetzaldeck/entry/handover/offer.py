"""Decides whether a call is offered to other VMs, while this one can't serve it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.decisions.paths import PathVerdict
from quetzaldeck.entry.call import check_call
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from aiohttp import web

    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.sending import CallAccount
    from quetzaldeck.entry.state import EntryState
    from quetzaldeck.entry.stream_relay import StreamRelay
    from quetzaldeck.outcomes import Failure


_PATH_REASONS = frozenset((Reason.NO_PATH, Reason.UPSTREAM_FAILED))
"""Reasons of failures that another VM may be spared."""


async def _claim_nothing() -> None:
    """Nobody else serves the call."""


class HandoverOffer:
    """Offers one call to other VMs."""

    def __init__(self, state: EntryState, call: Call) -> None:
        self._state = state
        self._call = call

    def is_preferred(self) -> bool:
        """:returns: whether another VM should run the call at once"""
        service = self._call.admitted.service
        return self._state.paths.prefers_hand_over(service) and (
            self._state.handover.may_send(self._call, 0, Ran.NO)
        )

    def allows(self, failure: Failure, account: CallAccount) -> bool:
        """:returns: whether another VM may run a call that has failed here

        :param account: the sendings of the call
        """
        ran = account.word(failure).ran
        return (
            failure.reason in _PATH_REASONS
            and self._state.handover.may_send(self._call, account.n_maybe_run, ran)
            and self._state.paths.may_hand_over(self._call.admitted.service)
        )

    async def hand_over(
        self,
        relay: StreamRelay,
        account: CallAccount,
        claim: Callable[[], Awaitable[None]] = _claim_nothing,
    ) -> web.StreamResponse:
        """Have another VM run the call.

        :param relay: continues the caller's stream if it has begun
        :param account: the sendings of the call, to which those to VMs are added
        :param claim: awaited before the response is forwarded
        :raises RequestError: if it was not answered
        """
        verdict = self._state.paths.monitor.find_verdict(self._call.admitted.service)
        return await self._state.handover.run(
            self._call,
            relay,
            account,
            claim,
            self._check,
            is_known_reachable=verdict not in (PathVerdict.UNREACHED, PathVerdict.DOWN),
        )

    def _check(self, account: CallAccount) -> Failure | None:
        view = self._state.view
        return check_call(self._call, view, may_have_run=account.may_have_run)


__all__ = ("HandoverOffer",)
