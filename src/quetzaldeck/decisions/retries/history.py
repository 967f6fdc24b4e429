"""History of the attempts of one request."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from quetzaldeck.decisions.decision import AttemptEnd


class AttemptHistory(NamedTuple):
    """Attempts of one request.

    :param n_dispatched: dispatched attempts, used to number them
    :param n_maybe_run: failed attempts that an upstream may have started to run
    :param n_not_run: failed attempts that no upstream started to run
    :param n_no_room: reservations refused for lack of capacity
    :param n_rate_limited: refused permits for upstreams that limit their rate
    :param avoided: upstreams on which the request failed, oldest first
    :param may_have_run: whether any upstream may have started to run the request
    :param has_output: whether any upstream generated a part of the answer
    :param is_handed_over: whether another VM makes the attempts that are left
    :param n_diverted: attempts not sent, as their upstream was closed to new requests
        meanwhile
    """

    n_dispatched: int = 0
    n_maybe_run: int = 0
    n_not_run: int = 0
    n_no_room: int = 0
    n_rate_limited: int = 0
    avoided: tuple[str, ...] = ()
    may_have_run: bool = False
    has_output: bool = False
    is_handed_over: bool = False
    n_diverted: int = 0

    @property
    def ran(self) -> Ran:
        """:returns: whether the request ran; ``NO`` only if no attempt can have run"""
        if self.has_output:
            return Ran.YES
        return Ran.UNKNOWN if self.may_have_run else Ran.NO

    def resume(self, upstreams: tuple[str, ...]) -> AttemptHistory:
        """:returns: the history without the silence of an attempt that continues

        :param upstreams: its upstreams
        """
        return self._replace(
            n_maybe_run=self.n_maybe_run - 1,
            avoided=tuple(name for name in self.avoided if name not in upstreams),
        )

    def after(self, end: AttemptEnd, upstreams: tuple[str, ...]) -> AttemptHistory:
        """:returns: the history with one more failed attempt

        An upstream that refused a reservation for lack of capacity is not avoided: it
        may have capacity next time. Nor is one that refused a prompt longer than
        estimated, or that takes no more requests now. An attempt that was diverted does
        not count.
        """
        if end.is_diverted:
            return self._replace(n_diverted=self.n_diverted + 1)
        if end.fault is AttemptFault.NO_ROOM:
            return self._replace(n_no_room=self.n_no_room + 1)
        if end.fault is AttemptFault.RATE_LIMITED:
            return self._replace(n_rate_limited=self.n_rate_limited + 1)
        failed = (end.upstream,) if end.upstream else upstreams
        if end.fault is AttemptFault.TOO_LONG:
            failed = ()
        return self._replace(
            n_maybe_run=self.n_maybe_run + end.may_have_run,
            n_not_run=self.n_not_run + (not end.may_have_run),
            avoided=self.avoided + failed,
            may_have_run=self.may_have_run or end.may_have_run,
            has_output=self.has_output or end.n_output_tokens > 0,
        )


__all__ = ("AttemptHistory",)
