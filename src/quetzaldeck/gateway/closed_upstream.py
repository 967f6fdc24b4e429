"""The error of an attempt whose upstream takes nothing new, right before its send."""

from __future__ import annotations

from quetzaldeck.decisions import AttemptFault
from quetzaldeck.decisions.availability import Closure, ClosureCause
from quetzaldeck.upstreams import UpstreamError

_FAULTS = {
    ClosureCause.LEAVING: AttemptFault.OVERLOADED,
    ClosureCause.EVACUATED: AttemptFault.EVACUATED,
    ClosureCause.RESTING: AttemptFault.RESTING,
}

_DETAILS = {
    ClosureCause.LEAVING: "the upstream began to leave",
    ClosureCause.EVACUATED: "the zone was evacuated",
    ClosureCause.RESTING: "the upstream asked for rest",
}


def build_closed_error(upstream: str, closure: Closure) -> UpstreamError:
    """:returns: the error of a request that is not sent and has to go elsewhere"""
    return UpstreamError(
        _FAULTS[closure.cause],
        f"{upstream}: {_DETAILS[closure.cause]} after the request was dispatched",
        may_have_run=False,
        was_sent=False,
        upstream=upstream,
    )


__all__ = ("build_closed_error",)
