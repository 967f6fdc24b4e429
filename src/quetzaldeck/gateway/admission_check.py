"""Checks a waiting request against the bundle in force."""

from __future__ import annotations

from typing import TYPE_CHECKING

from quetzaldeck.gateway.errors import RequestError
from quetzaldeck.outcomes import Ran, Reason

if TYPE_CHECKING:
    from collections.abc import Callable

    from quetzaldeck.bundle import CustomerSpec
    from quetzaldeck.gateway.state import GatewayState
    from quetzaldeck.outcomes import Failure


class AdmissionCheck:
    """Whether the bundle in force still allows a request that was admitted.

    :param authorization: the header with the caller's key
    :param check_allowed: raises :class:`RequestError` if the customer may not make it
    """

    def __init__(
        self,
        state: GatewayState,
        authorization: str | None,
        check_allowed: Callable[[CustomerSpec], None],
    ) -> None:
        self._state = state
        self._authorization = authorization
        self._check_allowed = check_allowed

    def run(self, *, may_have_run: bool) -> Failure | None:
        """Check the request before it is sent, or while it waits.

        What may have run is retried as it was admitted, unless its key is revoked.

        :returns: the refusal; ``None`` if it may be sent
        """
        try:
            customer = self._state.customers.authenticate(self._authorization)
            self._check_allowed(customer)
        except RequestError as error:
            failure = error.failure
        else:
            return None
        if not may_have_run:
            return failure
        if failure.reason is Reason.UNKNOWN_CUSTOMER:
            return failure._replace(ran=Ran.UNKNOWN)
        return None


__all__ = ("AdmissionCheck",)
