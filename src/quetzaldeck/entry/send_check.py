"""Checks right before a sending of a call that it may be made."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.entry.call import check_call
from quetzaldeck.outcomes import Failure, Ran, Reason

if TYPE_CHECKING:
    from quetzaldeck.entry.call import Call
    from quetzaldeck.entry.sending import CallAccount
    from quetzaldeck.entry.state import EntryState


class NotAllowedError(Exception):
    """A call must not be sent any more."""

    def __init__(self, failure: Failure) -> None:
        super().__init__(failure.detail)
        self.failure = failure


class SendCheck:
    """Checks whether the configuration and earlier sendings allow another sending.

    :param account: the sendings of the call
    """

    def __init__(self, state: EntryState, call: Call, account: CallAccount) -> None:
        self._state = state
        self._call = call
        self._account = account

    def run(self) -> None:
        """Check the call as of now.

        :raises NotAllowedError: if it must not be sent
        """
        may_have_run = self._account.may_have_run
        if may_have_run and not self._call.admitted.route.is_repeatable:
            raise NotAllowedError(Failure(Reason.UPSTREAM_FAILED, Ran.UNKNOWN))
        failure = check_call(self._call, self._state.view, may_have_run=may_have_run)
        if failure is not None:
            raise NotAllowedError(failure)


__all__ = ("NotAllowedError", "SendCheck")
