"""What has happened to one request so far."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

from quetzaldeck.decisions.decision import AttemptFault
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from quetzaldeck.decisions.decision import AttemptEnd


class AttemptHistory(NamedTuple):
    """Attempts of one request.

    :param n_dispatched: attempts handed out, for their ids
    :param n_run: failed attempts that may have run
    :param n_unrun: failed attempts of which no byte reached an upstream
    :param n_no_room: reservations that could not be had
    :param avoided: upstreams that failed the request, oldest first
    :param has_reached: whether any byte may have reached an upstream
    :param has_output: whether an upstream generated some of the answer
    """

    n_dispatched: int = 0
    n_run: int = 0
    n_unrun: int = 0
    n_no_room: int = 0
    avoided: tuple[str, ...] = ()
    has_reached: bool = False
    has_output: bool = False

    @property
    def ran(self) -> Ran:
        """:returns: what a failure may say: ``no`` only if nothing was sent"""
        if self.has_output:
            return Ran.YES
        return Ran.UNKNOWN if self.has_reached else Ran.NO

    def after(self, end: AttemptEnd, upstreams: tuple[str, ...]) -> AttemptHistory:
        """:returns: the history with one more failed attempt

        A member without room did not fail: it may have room the next time. Nor did one
        that was given more than was announced.
        """
        if end.fault is AttemptFault.NO_ROOM:
            return self._replace(n_no_room=self.n_no_room + 1)
        blamed = (end.upstream,) if end.upstream else upstreams
        if end.fault is AttemptFault.TOO_LONG:
            blamed = ()
        return self._replace(
            n_run=self.n_run + end.may_have_run,
            n_unrun=self.n_unrun + (not end.may_have_run),
            avoided=self.avoided + blamed,
            has_reached=self.has_reached or end.may_have_run,
            has_output=self.has_output or end.n_output_tokens > 0,
        )


__all__ = ("AttemptHistory",)
