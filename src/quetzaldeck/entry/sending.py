"""What is known of each sending of a call, and what its caller is told of its run.

A statement that a request was not run is about one sending. It is recorded with that
sending, and the caller is told that the request has not run only if this is known of
each one.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.outcomes import Ran

if TYPE_CHECKING:
    from quetzaldeck.outcomes import Failure
    from quetzaldeck.upstreams import UpstreamError


class Evidence(StrEnum):
    """What is known of the execution of one sending.

    ``UNSENT``: nothing was sent. ``UNCONNECTED``: no connection was opened.
    ``UPSTREAM``: the upstream stated that it has not run it. ``VM``: the VM that it was
    handed over to stated so. ``NONE``: it may have run, or may yet run.
    """

    UNSENT = "unsent"
    UNCONNECTED = "unconnected"
    UPSTREAM = "upstream"
    VM = "vm"
    NONE = "none"


def find_evidence(error: UpstreamError) -> Evidence:
    """:returns: what a failed attempt proves"""
    if error.may_have_run:
        return Evidence.NONE
    if error.was_sent:
        return Evidence.UPSTREAM
    if error.fault is AttemptFault.CONNECT:
        return Evidence.UNCONNECTED
    return Evidence.UNSENT


class Sending:
    """One sending of a call, to an upstream or to another VM.

    :param receiver: name of the upstream, or address of the VM
    """

    def __init__(self, receiver: str) -> None:
        self._receiver = receiver
        self._evidence = Evidence.UNSENT

    @property
    def receiver(self) -> str:
        """:returns: name of the upstream, or address of the VM"""
        return self._receiver

    @property
    def evidence(self) -> Evidence:
        """:returns: what is known of its execution"""
        return self._evidence

    @property
    def may_have_run(self) -> bool:
        """:returns: whether the receiver may have run it, or may yet run it"""
        return self._evidence is Evidence.NONE

    def note_sent(self) -> None:
        """Record that bytes may leave from now on."""
        self._evidence = Evidence.NONE

    def note_not_run(self, evidence: Evidence) -> None:
        """Record what proves that it was not run and never will be."""
        self._evidence = evidence


class CallAccount:
    """All sendings of one call by this VM."""

    def __init__(self) -> None:
        self._sendings: list[Sending] = []

    @property
    def may_have_run(self) -> bool:
        """:returns: whether any sending may have run, or may yet run"""
        return any(sending.may_have_run for sending in self._sendings)

    @property
    def n_maybe_run(self) -> int:
        """:returns: number of sendings that may have run, or may yet run"""
        return sum(sending.may_have_run for sending in self._sendings)

    @property
    def evidence(self) -> Evidence:
        """:returns: what proves that the last sending was not run

        ``NONE`` if any sending may have run, ``UNSENT`` if nothing was sent.
        """
        if self.may_have_run:
            return Evidence.NONE
        sent = [s.evidence for s in self._sendings if s.evidence is not Evidence.UNSENT]
        return sent[-1] if sent else Evidence.UNSENT

    def open(self, receiver: str) -> Sending:
        """:returns: a sending that nothing has left of yet"""
        sending = Sending(receiver)
        self._sendings.append(sending)
        return sending

    def find_ran(self) -> Ran:
        """:returns: whether the call has run, as far as its sendings tell"""
        return Ran.UNKNOWN if self.may_have_run else Ran.NO

    def word(self, failure: Failure) -> Failure:
        """Say of a failure what the sendings prove about the run of the call.

        Whoever found the failure may know less of them; nobody else may tell a caller
        that a call which was admitted has not run.
        """
        if failure.ran is Ran.NO:
            return failure._replace(ran=self.find_ran())
        return failure

    def render(self) -> str:
        """:returns: receiver and evidence of each sending, for the logs"""
        return ",".join(f"{s.receiver}:{s.evidence.value}" for s in self._sendings)


__all__ = ("CallAccount", "Evidence", "Sending", "find_evidence")
