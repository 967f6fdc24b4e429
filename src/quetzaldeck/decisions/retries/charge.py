"""What the budgets were charged for an attempt that has not been sent yet."""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from quetzaldeck.decisions.decision import AttemptEnd


class RetryCharge(NamedTuple):
    """Charge for the next attempt of a request; given back if it is never sent.

    :param n_tokens: work charged to the budget of retried work; 0: none
    :param charged_ms: when that was charged
    :param resent_ms: when the budget of resends was charged; ``None``: it was not
    """

    n_tokens: int = 0
    charged_ms: float = 0.0
    resent_ms: float | None = None

    def after(self, end: AttemptEnd) -> RetryCharge:
        """:returns: what is not used up by the attempt it was charged for"""
        left = self
        if end.may_have_run:
            left = left._replace(n_tokens=0)
        if end.was_sent:
            left = left._replace(resent_ms=None)
        return left

    def add(self, other: RetryCharge) -> RetryCharge:
        """Combine what is left of a charge with the next one.

        An attempt is charged only for what the one before it has used up.
        """
        charged = other if other.n_tokens else self
        resent_ms = self.resent_ms if other.resent_ms is None else other.resent_ms
        return RetryCharge(charged.n_tokens, charged.charged_ms, resent_ms)


NO_CHARGE = RetryCharge()

__all__ = ("NO_CHARGE", "RetryCharge")
